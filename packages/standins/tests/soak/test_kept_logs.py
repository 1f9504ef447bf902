"""The logs of a seed with violations are kept."""

import asyncio

import pytest
from verbenahall_standins.soak import __main__ as command


@pytest.mark.parametrize('violations', [[], ['answered twice']])
def test_logs_of_a_failed_seed_are_kept(tmp_path, monkeypatch, violations):
    """A failure that was seen once could not be traced."""

    async def run_soak(seed, seconds, folder, instances):
        (folder / 'front-0.log').write_text('{"event":"started"}')
        return violations

    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(command, 'run_soak', run_soak)
    found = asyncio.run(command.run_seeds(7, 1, 1, 3))
    kept = tmp_path / 'reports' / 'soak-7' / 'front-0.log'
    assert (found, kept.exists()) == (len(violations), bool(violations))
