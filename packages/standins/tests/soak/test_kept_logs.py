"""What is kept and said of a seed with violations."""

import asyncio
import time

import pytest
from verbenahall_standins.soak import __main__ as command


@pytest.mark.parametrize('violations', [[], ['answered twice']])
def test_logs_of_a_failed_seed_are_kept(tmp_path, monkeypatch, violations):
    """A failure that was seen once could not be traced."""

    async def run_soak(seed, seconds, folder, instances, scenario):
        (folder / 'front-0.log').write_text('{"event":"started"}')
        return violations

    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(command, 'run_soak', run_soak)
    found = asyncio.run(command.run_seeds(7, 1, 1, 3))
    kept = tmp_path / 'reports' / 'soak-7' / 'front-0.log'
    assert (found, kept.exists()) == (len(violations), bool(violations))


def test_stalled_stand_ins_are_named(monkeypatch, capsys, tmp_path):
    """Answers that were late by the soak itself looked like a fault."""

    async def run_soak(seed, seconds, folder, instances, scenario):
        await asyncio.sleep(0.1)
        time.sleep(0.6)
        await asyncio.sleep(0.1)
        return ['answered late']

    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(command, 'run_soak', run_soak)
    asyncio.run(command.run_seeds(7, 1, 1, 3))
    assert 'stood still up to 0.' in capsys.readouterr().out
