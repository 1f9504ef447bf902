"""The account of connections' memory, for any order of events."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenahall import memory

TOTAL = 1_000_000
BODY = 200_000
CLIENTS = 6

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ('receive', 'run', 'ahead', 'unread', 'reserve', 'end', 'leave')
        ),
        st.integers(0, CLIENTS - 1),
        st.integers(1, BODY),
        st.floats(0, 3),
    ),
    max_size=60,
)


class House:
    """Connections that yield some events after they were told to."""

    def __init__(self):
        self.state = memory.AccountState(memory.Bounds.from_total(TOTAL))
        self.shares = [memory.Share() for _ in range(CLIENTS)]
        self.now = 0

    def receive(self, share, size):
        missing = memory.receive(self.state, share, size, self.now)
        if missing:
            memory.find_victims(self.state, missing, self.now)

    def run(self, share, size):
        # Only a whole request runs, and none that was told to yield.
        if share.count and not share.yields:
            share.activity = memory.Activity.RUNNING

    def ahead(self, share, size):
        if share.activity is memory.Activity.RUNNING:
            share.activity = memory.Activity.SENT_AHEAD
            share.behind += size
            self.receive(share, size)

    def unread(self, share, size):
        if share.activity is not memory.Activity.RECEIVING:
            memory.start_unread(self.state, share, self.now)
            self.receive(share, 0)

    def reserve(self, share, size):
        if share.activity is memory.Activity.RECEIVING and not share.reserved:
            memory.reserve(self.state, share, size, self.now)

    def end(self, share, size):
        memory.finish(self.state, share)

    def leave(self, share, size):
        share.is_closed = True
        memory.finish(self.state, share)
        # What comes after the end of a connection is not counted.
        memory.hold(self.state, share, size)
        self.shares[self.shares.index(share)] = memory.Share()

    def check(self):
        state = self.state
        open_shares = [one for one in self.shares if one.count]
        assert state.requests == sum(one.count for one in self.shares)
        assert state.going == sum(one.going for one in self.shares)
        assert state.reserved == sum(one.reserved for one in self.shares)
        assert set(state.holding) >= set(open_shares)
        assert state.reserved <= state.bounds.large
        may_stay = [
            one
            for one in open_shares
            if one.activity is not memory.Activity.RUNNING and not one.yields
        ]
        if may_stay:
            assert state.requests - state.going <= state.bounds.requests


@settings(deadline=None)
@given(EVENTS)
def test_bounds_hold_for_any_order_of_events(events):
    # A count that is off by one event keeps callers out for good, or lets a
    # crowd in.
    house = House()
    for name, number, size, pause_s in events:
        house.now += pause_s
        getattr(house, name)(house.shares[number], size)
        house.check()
    for share in tuple(house.shares):
        house.leave(share, 1)
    state = house.state
    assert not (state.held or state.going or state.reserved or state.holding)


def test_slowest_connections_yield_first():
    house = House()
    stopped, slow, fast = house.shares[:3]
    house.receive(stopped, 300_000)
    house.now = 10.0
    house.receive(slow, 300_000)
    house.now = 20.0
    house.receive(fast, 200_000)
    assert (stopped.yields, slow.yields, fast.yields) == (True, False, False)


def test_connection_that_makes_progress_does_not_yield_to_a_stopped_one():
    house = House()
    stopped, moving = house.shares[:2]
    house.receive(stopped, 400_000)
    for _ in range(7):
        house.now += 1
        house.receive(moving, 50_000)
    assert stopped.yields or not moving.yields
    house.receive(moving, 50_000)
    assert stopped.yields
    assert not moving.yields


@pytest.mark.parametrize('sent', [17_000, 499_000])
def test_slow_large_body_makes_room_for_another(sent):
    # A few bytes held room for 4 MB for as long as their sender liked.
    house = House()
    slow, other = house.shares[:2]
    house.receive(slow, sent)
    assert memory.reserve(house.state, slow, 500_000, house.now) == []
    house.now = 0.5
    assert memory.reserve(house.state, other, 100_000, house.now) is None
    for _ in range(12):
        house.now += 1.1
        house.receive(slow, 1)
    house.receive(other, 50_000)
    victims = memory.reserve(house.state, other, 100_000, house.now)
    assert victims == [slow]
    assert slow.yields


def test_steady_large_body_keeps_its_room():
    house = House()
    steady, other = house.shares[:2]
    house.receive(steady, 10_000)
    memory.reserve(house.state, steady, 500_000, house.now)
    for _ in range(7):
        house.now += 1
        house.receive(steady, 60_000)
    assert memory.reserve(house.state, other, 100_000, house.now) is None
    assert not steady.yields


def test_request_that_runs_does_not_yield():
    # It can't be taken back: what was answered with 429 must not have run.
    house = House()
    running, new = house.shares[:2]
    house.receive(running, 700_000)
    running.activity = memory.Activity.RUNNING
    house.now = 60.0
    house.receive(new, 100_000)
    assert new.yields
    assert not running.yields


def test_slowest_connections_make_room_in_a_full_house():
    # Answers that nobody read, or bodies without end, kept all others out.
    house = House()
    stopped, running, fast, new = house.shares[:4]
    for share in (stopped, running):
        house.receive(share, 1000)
    running.activity = memory.Activity.RUNNING
    house.now = 60
    house.receive(fast, 100_000)
    house.now = 62
    house.receive(new, 1000)
    found = memory.find_slowest(house.state, house.shares[:4], 1, house.now)
    assert found == [stopped]
    found = memory.find_slowest(house.state, house.shares[:4], 9, house.now)
    assert found == [fast]
    house.check()


def test_connection_that_has_ended_makes_no_room():
    # A listener lists a connection until its task has ended, and telling it to
    # yield failed: the new connection got no answer, the others never yielded.
    account = memory.MemoryAccount(memory.Bounds.from_total(TOTAL))
    connections = [SlowConnection() for _ in range(2)]
    shares = [account.open(one) for one in connections]
    for share in shares:
        account.receive(share, 1000)
        share.since -= 60
    account.close(shares[0])
    assert account.make_room(shares, 2) == 1
    assert [one.has_yielded for one in connections] == [False, True]


def test_idle_connection_is_not_slow():
    # Its next request may lie unread in the kernel.
    account = memory.MemoryAccount(memory.Bounds.from_total(TOTAL))
    connection = SlowConnection()
    share = account.open(connection)
    account.receive(share, 1000)
    account.finish(share)
    share.since -= 60
    assert account.make_room([share], 1) == 0
    assert not connection.has_yielded


class SlowConnection:
    """A connection that notes whether it was told to yield."""

    def __init__(self):
        self.has_yielded = False

    def yield_memory(self):
        self.has_yielded = True

    def count_unsent(self):
        return 0

    def end_unread(self):
        """Hold nothing."""
