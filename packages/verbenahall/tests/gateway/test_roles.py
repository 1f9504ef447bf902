"""Instances leave the engines' roles to whoever is at work on them."""

import dataclasses

from verbenahall.fleet import Role
from verbenahall.gateway._orders import _Progress
from verbenahall.roster import Entry

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
