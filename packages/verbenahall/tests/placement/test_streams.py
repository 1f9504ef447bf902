"""The wait for a slot of a decode engine."""

import pytest

from verbenahall.placement import LoadTable, OpenStream, Totals

TOKEN_S = 0.001
SLOTS = 4


def open_streams(load_table, count, *, priority=1, started_at=0.0, tokens=2000):
    """Open streams that take two seconds, and start them."""
    for _ in range(count):
        stream = OpenStream(priority, tokens, 0)
        flight = load_table.open('d0', Totals(streams=1), stream)
        load_table.record_first_event(flight, started_at)


def find_wait(load_table, *, priority=1, has_handle=False, now=0.0, others=0):
    """Return the wait of a new stream; peers have ``others`` open."""
    stream = OpenStream(priority, 2000, now, has_handle)
    open_count = load_table.totals('d0').streams + others
    return load_table.streams.find_slot_wait(
        'd0', stream, SLOTS, open_count, TOKEN_S
    )


def test_free_slot_needs_no_wait():
    load_table = LoadTable()
    assert not find_wait(load_table)
    open_streams(load_table, SLOTS - 1)
    assert not find_wait(load_table)


def test_full_engine_frees_its_oldest_stream_first():
    load_table = LoadTable()
    open_streams(load_table, SLOTS - 1)
    open_streams(load_table, 1, started_at=-1.5)
    assert find_wait(load_table) == pytest.approx(0.5)


def test_waiting_streams_go_first_unless_a_handle_overtakes_them():
    load_table = LoadTable()
    open_streams(load_table, SLOTS)
    load_table.open('d0', Totals(streams=1), OpenStream(1, 2000, 0))
    assert find_wait(load_table) == pytest.approx(2)
    for _ in range(SLOTS):
        load_table.open('d0', Totals(streams=1), OpenStream(1, 2000, 0))
    assert find_wait(load_table) == pytest.approx(4)
    assert find_wait(load_table, has_handle=True) == pytest.approx(2)


def test_urgent_stream_does_not_wait_for_less_urgent_ones():
    load_table = LoadTable()
    open_streams(load_table, 3 * SLOTS)
    assert not find_wait(load_table, priority=0)


def test_streams_of_peers_are_estimated_by_the_known_ones():
    load_table = LoadTable()
    open_streams(load_table, SLOTS)
    assert find_wait(load_table, others=3 * SLOTS) == pytest.approx(2)


def test_engine_that_only_peers_use_is_no_full_one():
    # Without a stream of its own an instance cannot tell when a slot is free,
    # so it must not refuse its callers.
    assert not find_wait(LoadTable(), others=3 * SLOTS)


def test_few_known_streams_of_many_leave_a_slot_some_time():
    load_table = LoadTable()
    open_streams(load_table, 1, started_at=-1.5)
    assert find_wait(load_table, others=5 * SLOTS) == pytest.approx(0.5)
