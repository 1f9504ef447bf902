"""What is known is used while it is young; the store is asked when not."""

import asyncio

import pytest

from verbenahall.gateway._freshness import Freshness

from .simulated_clock import run_simulated


async def wait(freshness, after_s, note):
    """Wait until a topic may be used; something is noted meanwhile."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(10)
    started = loop.time()
    loop.call_later(after_s, note)
    await freshness.wait_usable()
    return round(loop.time() - started, 3)


def make_freshness(confirmed_at):
    """Return the age of a topic that was confirmed at a time."""
    freshness = Freshness(2)
    freshness.record_confirmed(confirmed_at)
    return freshness


@pytest.mark.parametrize('confirmed_at', [9, 8])
def test_young_topic_is_used_at_once(confirmed_at):
    freshness = make_freshness(confirmed_at)
    assert run_simulated(wait(freshness, 0.1, bool)) == 0


def test_old_topic_is_used_when_the_store_has_confirmed_it():
    freshness = make_freshness(7)

    def confirm():
        freshness.record_confirmed(10)

    assert run_simulated(wait(freshness, 0.1, confirm)) == 0.1


def test_confirmation_that_is_too_old_itself_is_waited_past():
    """A heartbeat that lay unread for seconds confirms an old list."""
    freshness = make_freshness(5)

    def confirm():
        freshness.record_confirmed(7)

    assert run_simulated(wait(freshness, 0.1, confirm)) == 0.5


def test_nothing_is_waited_for_while_the_store_is_away():
    """Requests would be held up for as long as an outage lasts."""
    freshness = make_freshness(5)
    freshness.record_failure(8)
    assert run_simulated(wait(freshness, 0.1, bool)) == 0


def test_request_waits_no_longer_when_the_store_falls_silent():
    freshness = make_freshness(5)

    def lose():
        freshness.record_failure(10.1)

    assert run_simulated(wait(freshness, 0.1, lose)) == 0.1


def test_wait_for_the_store_is_bounded():
    assert run_simulated(wait(make_freshness(5), 9, bool)) == 0.5


def test_topic_that_was_never_read_is_waited_for_elsewhere():
    """Readiness keeps callers away until the first answer."""
    assert run_simulated(wait(Freshness(2), 9, bool)) == 0


def test_follower_asks_again_in_time_for_those_that_rely_on_it():
    freshness = make_freshness(10)
    assert freshness.limit_wait(0.4, 10.1) == 0.4
    assert freshness.limit_wait(1, 10.5) == pytest.approx(0.54)
    assert freshness.limit_wait(1, 12) == 0.05
