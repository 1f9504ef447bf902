"""Exhaustive and random exploration of the lease-and-order protocol."""

import random

import pytest

from verbenahall_standins.explorer import (
    NO_COMPARE_AND_SET,
    NO_LEASE_CHECK,
    NO_READ_BACK,
    PRODUCTION,
    Bounds,
    explore,
    make_initial_state,
    walk,
)

WIDE = Bounds(records=8, appends=2)
#: Transitions of a random schedule.
STEPS = 70


@pytest.mark.parametrize(
    ('checks', 'records', 'states'),
    [(True, 2, 12904), (False, 3, 66907)],
)
def test_no_state_breaks_the_protocol(checks, records, states):
    """No reachable state has two lease holders or a stale order in effect.

    Instances are paused, appends are delayed or lost, and answers are lost.
    The expected number of states detects a search that ended early; it
    changes with the protocol.
    """
    report = explore(
        make_initial_state(checks=checks), Bounds(records), PRODUCTION
    )

    assert report.trace == ()
    assert report.states == states


@pytest.mark.parametrize('checks', [True, False])
def test_random_schedules_show_no_violation(checks):
    """500 random schedules for each kind of engine show no violation."""
    for seed in range(500):
        state = make_initial_state(checks=checks)
        report = walk(state, WIDE, PRODUCTION, random.Random(seed), STEPS)

        assert report.violation is None, (seed, report.trace)


@pytest.mark.parametrize(
    'rules', [NO_LEASE_CHECK, NO_READ_BACK, NO_COMPARE_AND_SET]
)
def test_broken_variants_are_caught(rules):
    """Random schedules find the violation when one guard is left out.

    An engine that ignores tokens then executes an order of a former holder.
    """
    reports = (
        walk(
            make_initial_state(checks=False),
            WIDE,
            rules,
            random.Random(seed),
            STEPS,
        )
        for seed in range(1000)
    )

    assert any(report.violation for report in reports)
