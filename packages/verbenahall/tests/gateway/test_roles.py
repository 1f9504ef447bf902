"""Role changes by other instances, and engines that can't fill a role."""

import dataclasses

from verbenahall.fleet import Role
from verbenahall.placement import RoleObserver
from verbenahall.roster import Entry, format_incarnation
from verbenahall.throttling import record_rate

from .conftest import make_engines, run, run_gateway

ENGINE = Entry(
    'engine-1',
    'drafter',
    '10.0.0.1:80',
    'ain',
    leaving=False,
    role=Role.DECODE,
)


def test_changed_role_is_detected():
    """Another instance orders role changes in several rounds.

    When this was not detected, a further instance started to order changes
    every few seconds, and each one read the lease from the store three times a
    second.
    """
    observer = RoleObserver()
    changed = dataclasses.replace(ENGINE, role=Role.PREFILL)

    assert not observer.update('drafter', [ENGINE])
    assert observer.update('drafter', [changed])
    assert not observer.update('drafter', [changed])


def test_engine_that_joins_or_leaves_is_no_role_change():
    """Engines crash and start without any order."""
    observer = RoleObserver()
    observer.update('drafter', [ENGINE])

    assert not observer.update('drafter', [])
    assert not observer.update('drafter', [ENGINE])


def test_engines_with_a_rate_limit_are_replaced_in_their_role(tmp_path):
    """All decode engines accept two requests a second; the rest are prefill."""

    async def check():
        engines = make_engines(prefill_count=4, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            core = harness.gateway.core
            for engine in engines[4:]:
                listing = core.roster.listings[engine.name]
                record_rate(
                    core.rates, format_incarnation(listing.entry), 2, core.now()
                )
            await harness.wait_until(
                lambda: any(one.orders for one in engines[:4]),
                within_s=12,
            )
            ordered = [one.orders[0]['stage'] for one in engines if one.orders]
            assert set(ordered) == {'decode'}
            assert not any(one.orders for one in engines[4:])

    run(check())
