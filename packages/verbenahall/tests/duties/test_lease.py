"""A lease has one holder at a time, and its tokens increase."""

import asyncio

import pytest
from verbenahall_standins.platform import StoreStandIn

from verbenahall.authority import LeaseTiming
from verbenahall.duties import DutyLease
from verbenahall.platform import StoreClient, make_position, make_session

_TIMING = LeaseTiming(lease_s=6, margin_s=3.5)
#: The token of the first claim in the first era.
FIRST_TOKEN = make_position(1, 0) + 1


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.seconds = 100.0

    def __call__(self):
        return self.seconds


async def run_with_store(check):
    store = StoreStandIn()
    await store.start()
    session = make_session()
    clock = Clock()

    def make(name, duty='roles'):
        client = StoreClient(session, store.address)
        return DutyLease(client, duty, name, _TIMING, 0, clock)

    try:
        await check(store, make, clock)
    finally:
        await session.close()
        await store.stop()


def test_first_claim_wins_and_the_second_is_refused():
    async def check(store, make, clock):
        first, second = make('a'), make('b')
        assert await first.acquire() == FIRST_TOKEN
        assert await second.acquire() is None

    asyncio.run(run_with_store(check))


def test_two_claims_at_once_have_one_winner():
    # Several instances read a free lease at the same time and all claim it.
    # With two holders an engine would receive conflicting orders.
    async def check(store, make, clock):
        leases = [make(name) for name in 'abcdef']
        tokens = await asyncio.gather(*(one.acquire() for one in leases))
        assert sum(token is not None for token in tokens) == 1

    asyncio.run(run_with_store(check))


def test_successor_waits_out_the_lease_and_gets_a_higher_token():
    # The holder is killed. A successor that claims too early would send orders
    # while the holder's last orders are still in transit.
    async def check(store, make, clock):
        first, second = make('a'), make('b')
        token = await first.acquire()
        assert await second.acquire() is None
        clock.seconds += 9
        assert await second.acquire() is None
        clock.seconds += 2
        later = await second.acquire()
        assert later is not None
        assert later > token

    asyncio.run(run_with_store(check))


def test_holder_has_no_lease_after_a_long_suspension():
    # The holder's machine is suspended just before an order and resumes after
    # a successor has claimed the lease. The order must not be sent.
    async def check(store, make, clock):
        first, second = make('a'), make('b')
        await first.acquire()
        await second.acquire()
        clock.seconds += 11
        assert await second.acquire() is not None
        assert first.token() is None
        assert await first.acquire() is None

    asyncio.run(run_with_store(check))


def test_claim_whose_response_is_lost_is_not_repeated():
    # The store accepts a claim but its response is lost. The claimant holds the
    # lease and must find its own token instead of claiming again.
    async def check(store, make, clock):
        first = make('a')
        store.faults.lose_appends = True
        assert await first.acquire() is None
        store.faults.lose_appends = False
        clock.seconds += 2
        assert await first.acquire() == FIRST_TOKEN
        assert len(store.newest('keyed.leases')) == 1

    asyncio.run(run_with_store(check))


def test_refused_token_is_not_used_again():
    # An engine has seen a higher token and refuses this one. The instance must
    # not use it again, since a successor holds the lease.
    async def check(store, make, clock):
        first = make('a')
        await first.acquire()
        first.discard_token()
        assert first.token() is None

    asyncio.run(run_with_store(check))


@pytest.mark.parametrize('content', [b'\xff', b'{}', b'{"holder":1}'])
def test_unreadable_lease_still_has_one_claimant_at_a_time(content):
    # Another writer corrupts the lease's record. A reader can't tell whether
    # the lease is free, but the next claim is still conditional.
    async def check(store, make, clock):
        store.put('keyed.leases', 'roles', content)
        first, second = make('a'), make('b')
        tokens = [await first.acquire(), await second.acquire()]
        assert tokens.count(None) == 1

    asyncio.run(run_with_store(check))


def test_refused_token_is_not_restored_from_its_own_record():
    # An engine has seen a higher token and refuses this one. The record of the
    # claim is still the newest in the store. If it were read again under the
    # same name, it would restore the refused token, and every order with it
    # would be refused as well.
    async def check(store, make, clock):
        first = make('a')
        token = await first.acquire()
        first.discard_token()
        assert await first.acquire() is None
        clock.seconds += 11
        later = await first.acquire()
        assert later is not None
        assert later > token

    asyncio.run(run_with_store(check))


def test_duties_have_separate_holders_and_distinct_tokens():
    """The duties share a topic, but a token of one must not fit another."""

    async def check(store, make, clock):
        leases = [make('a', 'usage'), make('b', 'scale/x'), make('a', 'roles')]
        tokens = [await one.acquire() for one in leases]
        assert None not in tokens
        assert len(set(tokens)) == len(tokens)
        assert [one.token() for one in leases] == tokens

    asyncio.run(run_with_store(check))


def test_standby_waits_from_its_first_read():
    """A standby's earlier reads shorten its wait, but never below the lease."""

    async def check(store, make, clock):
        holder, standby = make('a'), make('b')
        await holder.acquire()
        grant = await standby.read()
        assert grant.holder == holder.holder
        assert standby.find_wait_s() >= 9.5
        clock.seconds += 5
        assert await standby.acquire() is None
        clock.seconds += 5
        assert await standby.acquire() > grant.token

    asyncio.run(run_with_store(check))


def test_claim_that_conflicts_with_another_duty_is_retried():
    """Another duty's claim is appended between the read and the append."""

    async def check(store, make, clock):
        one, other = make('a', 'usage'), make('b', 'scale/x')
        await asyncio.gather(one.acquire(), other.acquire())
        clock.seconds += 1
        tokens = {await one.acquire(), await other.acquire()}
        assert None not in tokens
        assert len(tokens) == 2

    asyncio.run(run_with_store(check))
