"""Exhaustive and random exploration of leases and orders."""

import random

import pytest

from verbenahall_standins.explorer import (
    BLIND_FOLD,
    NO_LEASE_CHECK,
    NO_READ_BACK,
    PRODUCTION,
    Bounds,
    explore,
    start_world,
    walk,
)

WIDE = Bounds(records=8, appends=2)
STEPS = 70


@pytest.mark.parametrize(
    ('checks', 'records', 'states'),
    [(True, 2, 12904), (False, 3, 66907)],
)
def test_no_state_breaks_the_protocol(checks, records, states):
    """Instances are paused, appends come late or never, answers are lost.

    An engine would end with models that nobody ordered last, or two
    instances would order it at once. The count shows that the search did
    not end early; it changes with the protocol.
    """
    report = explore(start_world(checks=checks), Bounds(records), PRODUCTION)

    assert report.trace == ()
    assert report.states == states


@pytest.mark.parametrize('checks', [True, False])
def test_random_schedules(checks):
    """The same failures in 500 long schedules for each kind of engine."""
    for seed in range(500):
        world = start_world(checks=checks)
        report = walk(world, WIDE, PRODUCTION, random.Random(seed), STEPS)

        assert report.violation is None, (seed, report.trace)


@pytest.mark.parametrize('rules', [NO_LEASE_CHECK, NO_READ_BACK, BLIND_FOLD])
def test_broken_variants_are_caught(rules):
    """One guard is left out, as by a careless change.

    An engine that ignores tokens carries out an order of a lost authority;
    the random schedules alone are enough to show it.
    """
    reports = (
        walk(
            start_world(checks=False),
            WIDE,
            rules,
            random.Random(seed),
            STEPS,
        )
        for seed in range(1000)
    )

    assert any(report.violation for report in reports)
