"""Instances leave the engines' roles to whoever is at work on them."""

import dataclasses

from verbenahall.fleet import Role
from verbenahall.gateway._hooks import name_start
from verbenahall.gateway._orders import _Progress
from verbenahall.roster import Entry
from verbenahall.throttling import note_rate

from .conftest import make_engines, open_desk, run

ENGINE = Entry(
    'engine-1',
    'drafter',
    '10.0.0.1:80',
    'ain',
    leaving=False,
    role=Role.DECODE,
)


def test_changed_role_is_progress():
    """Somebody orders changes, round after round.

    Taken for idle, it was joined by the next instance every few seconds, and
    each of them read the lease from the store three times a second.
    """
    progress = _Progress()
    changed = dataclasses.replace(ENGINE, role=Role.PREFILL)

    assert not progress.note('drafter', [ENGINE])
    assert progress.note('drafter', [changed])
    assert not progress.note('drafter', [changed])


def test_engine_that_comes_or_goes_is_no_progress():
    """Engines crash and start though nobody orders anything."""
    progress = _Progress()
    progress.note('drafter', [ENGINE])

    assert not progress.note('drafter', [])
    assert not progress.note('drafter', [ENGINE])


def test_engines_that_name_a_rate_leave_their_role_to_others(tmp_path):
    """All that generate take two requests a second; the others only read."""

    async def check():
        engines = make_engines(readers=4, generators=2)
        async with open_desk(tmp_path, engines) as desk:
            core = desk.gateway.core
            for engine in engines[4:]:
                seat = core.roster.seats[engine.name]
                note_rate(core.rates, name_start(seat.entry), 2, core.now())
            await desk.until(
                lambda: any(one.orders for one in engines[:4]),
                within_s=12,
            )
            ordered = [one.orders[0]['stage'] for one in engines if one.orders]
            assert set(ordered) == {'decode'}
            assert not any(one.orders for one in engines[4:])

    run(check())
