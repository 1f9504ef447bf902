"""Cached topics are used while fresh; otherwise the store is polled."""

import asyncio

import pytest

from verbenahall.store_relay import Freshness

from .simulated_clock import run_simulated


async def wait(freshness, after_s, callback):
    """Return the seconds until a topic is usable; run a callback meanwhile."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(10)
    started = loop.time()
    loop.call_later(after_s, callback)
    await freshness.wait_usable()
    return round(loop.time() - started, 3)


def make_freshness(confirmed_at):
    """Return the freshness of a topic that was confirmed at a time."""
    freshness = Freshness(2)
    freshness.record_confirmed(confirmed_at)
    return freshness


@pytest.mark.parametrize('confirmed_at', [9, 8])
def test_fresh_topic_is_used_at_once(confirmed_at):
    freshness = make_freshness(confirmed_at)
    assert run_simulated(wait(freshness, 0.1, bool)) == 0


def test_stale_topic_is_used_once_the_store_confirms_it():
    freshness = make_freshness(7)

    def confirm():
        freshness.record_confirmed(10)

    assert run_simulated(wait(freshness, 0.1, confirm)) == 0.1


def test_stale_confirmation_does_not_end_the_wait():
    """A heartbeat that is received seconds late confirms an old list."""
    freshness = make_freshness(5)

    def confirm():
        freshness.record_confirmed(7)

    assert run_simulated(wait(freshness, 0.1, confirm)) == 0.5


def test_no_wait_while_the_store_is_unreachable():
    """Otherwise requests would be delayed for the whole outage."""
    freshness = make_freshness(5)
    freshness.record_failure(8)
    assert run_simulated(wait(freshness, 0.1, bool)) == 0


def test_wait_ends_when_the_store_becomes_unreachable():
    freshness = make_freshness(5)

    def fail():
        freshness.record_failure(10.1)

    assert run_simulated(wait(freshness, 0.1, fail)) == 0.1


def test_wait_for_the_store_is_bounded():
    assert run_simulated(wait(make_freshness(5), 9, bool)) == 0.5


def test_topic_that_was_never_read_is_not_waited_for():
    """Instances are not ready, and get no callers, before the first read."""
    assert run_simulated(wait(Freshness(2), 9, bool)) == 0


def test_follower_polls_before_its_topic_turns_stale():
    freshness = make_freshness(10)
    assert freshness.limit_wait(0.4, 10.1) == 0.4
    assert freshness.limit_wait(1, 10.5) == pytest.approx(0.54)
    assert freshness.limit_wait(1, 12) == 0.05
