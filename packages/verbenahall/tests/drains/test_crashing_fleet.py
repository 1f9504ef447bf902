"""Requests that crash endpoints, in a fleet that is cut in parts."""

import os

import pytest

from .simulated_clock import run_simulated
from .crashing_fleet import (
    crash_any,
    cut_for_good,
    cut_parts,
    list_late_sends,
    play,
)

#: Seeds that are played; more by hand, from another first one on.
FIRST = int(os.environ.get('CRASH_SEED', '1'))
COUNT = int(os.environ.get('CRASH_SEEDS', '12'))
#: Sends that all instances together may make once they could know.
MOST_SENDS = 3


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_crashing_request_is_sent_three_times_more_at_most(seed):
    """Instances that are cut off from each other each learn anew."""
    fleet = run_simulated(play(seed, 0.4, cut_parts))
    assert len(fleet.crashed) >= 3
    assert len(list_late_sends(fleet)) <= MOST_SENDS
    assert fleet.answered > 1000


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_parts_of_a_fleet_learn_of_crashes_by_the_store(seed):
    """Three parts, each of which would let three endpoints crash."""
    fleet = run_simulated(play(seed, 2, cut_for_good))
    assert len(fleet.crashed) >= 3
    assert len(list_late_sends(fleet)) <= MOST_SENDS


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_crashes_without_a_culprit_have_nobody_refused(seed):
    """A request that ran where endpoints crashed is taken for the cause."""
    fleet = run_simulated(play(seed, 0, crash_any))
    assert fleet.answered > 1000
    assert not fleet.quarantined
