"""Calls of one instance to a store that refuses it."""

import asyncio
import random

import pytest

from verbenahall.store_relay import StoreSpacing


def list_calls(until, *, covered, callers=4, answer_s=0.004):
    """Return when callers that check every 10 ms call a refusing store."""
    spacing = StoreSpacing(random.Random(3))
    calls, failing = [], []
    for tick in range(int(until * 100)):
        now = tick / 100
        while failing and failing[0] <= now:
            spacing.record_failure(failing.pop(0))
        for _ in range(callers):
            if spacing.begin_call(now, covered=covered):
                calls.append(now)
                failing.append(now + answer_s)
    return calls


@pytest.mark.parametrize(
    ('covered', 'longest_s', 'most'), [(True, 2, 14), (False, 0.7, 30)]
)
def test_calls_to_a_refusing_store_are_spaced(covered, longest_s, most):
    # Two followers and two refreshers, which called a store that refused them
    # 3.5 times a second together.
    calls = list_calls(9, covered=covered)
    spaced = [after - before for before, after in zip(calls, calls[1:])][4:]
    assert len(calls) <= most
    assert max(spaced) <= longest_s + 0.02
    assert spaced[-1] >= longest_s / 2


def test_calls_without_an_answer_do_not_delay_the_next_one():
    # A silent store: a call that is never answered ends after 1.3 s. The next
    # one may find that the store is back.
    calls = list_calls(9, covered=False, answer_s=1.3)
    spaced = [after - before for before, after in zip(calls, calls[1:])]
    assert max(spaced[8:]) <= 0.72


def test_first_answer_ends_the_spacing_for_all():
    async def check():
        spacing = StoreSpacing(random.Random(1))
        for at in (0, 1, 4, 9):
            spacing.begin_call(at, covered=True)
            spacing.record_failure(at)
        assert not spacing.begin_call(9.1, covered=True)
        waiting = asyncio.create_task(spacing.wait(5))
        await asyncio.sleep(0)
        spacing.record_answer()
        async with asyncio.timeout(1):
            await waiting
        assert spacing.begin_call(9.1, covered=True)

    asyncio.run(check())


def test_pause_is_cut_short_when_peers_stop_confirming():
    # The store and the last peer fail one after the other.
    spacing = StoreSpacing(random.Random(1))
    for at in (0, 1, 3, 6, 10):
        spacing.begin_call(at, covered=True)
        spacing.record_failure(at)
    assert spacing.find_wait(10.7, covered=True) > 0
    assert spacing.find_wait(10.7, covered=False) == 0
