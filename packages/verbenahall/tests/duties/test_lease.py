"""One holder of the lease at a time, and tokens that only rise."""

import asyncio

import pytest
from verbenahall_standins.platform import StoreStandIn

from verbenahall.authority import LeaseTiming
from verbenahall.duties import DutyLease
from verbenahall.platform import StoreClient, make_session

_TIMING = LeaseTiming(lease_s=6, margin_s=3.5)


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.seconds = 100.0

    def __call__(self):
        return self.seconds


async def stand(check):
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
        assert await first.acquire() == 1
        assert await second.acquire() is None

    asyncio.run(stand(check))


def test_two_claims_at_once_have_one_winner():
    # Two instances see a free lease in the same moment and both claim it.
    # With two holders an engine gets two conflicting orders.
    async def check(store, make, clock):
        leases = [make(name) for name in 'abcdef']
        tokens = await asyncio.gather(*(one.acquire() for one in leases))
        assert sum(token is not None for token in tokens) == 1

    asyncio.run(stand(check))


def test_successor_waits_out_the_lease_and_gets_a_higher_token():
    # The holder is killed. A successor that comes too early would order
    # while the holder's last orders are still on their way.
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

    asyncio.run(stand(check))


def test_holder_that_slept_has_no_lease():
    # The holder's machine is suspended just before an order and wakes after
    # its successor has begun. Its order must not be sent.
    async def check(store, make, clock):
        first, second = make('a'), make('b')
        await first.acquire()
        await second.acquire()
        clock.seconds += 11
        assert await second.acquire() is not None
        assert first.token() is None
        assert await first.acquire() is None

    asyncio.run(stand(check))


def test_claim_whose_answer_is_lost_is_found_and_not_doubled():
    # The store takes a claim and its answer is lost. The claimant holds the
    # lease all the same, and must find its own token rather than claim anew.
    async def check(store, make, clock):
        first = make('a')
        store.faults.lose_appends = True
        assert await first.acquire() is None
        store.faults.lose_appends = False
        clock.seconds += 2
        assert await first.acquire() == 1
        assert len(store.newest('keyed.leases')) == 1

    asyncio.run(stand(check))


def test_refused_token_is_not_used_again():
    # An engine has seen a higher token and refuses ours. Used again, it only
    # shows that this instance has not noticed its successor.
    async def check(store, make, clock):
        first = make('a')
        await first.acquire()
        first.forget()
        assert first.token() is None

    asyncio.run(stand(check))


@pytest.mark.parametrize('content', [b'\xff', b'{}', b'{"holder":1}'])
def test_unreadable_lease_is_not_taken_for_a_free_one(content):
    # Another writer spoils the lease's record. Who reads it cannot know that
    # nobody holds it, but the next claim is conditional all the same.
    async def check(store, make, clock):
        store.put('keyed.leases', 'roles', content)
        first, second = make('a'), make('b')
        tokens = [await first.acquire(), await second.acquire()]
        assert tokens.count(None) == 1

    asyncio.run(stand(check))


def test_refused_token_is_not_taken_up_again_from_its_own_record():
    # An engine has seen a higher token and refuses ours. The record of our
    # claim is still the newest in the store; read again, it would hand the
    # refused token back, and every order under it would be refused, too.
    async def check(store, make, clock):
        first = make('a')
        token = await first.acquire()
        first.forget()
        assert await first.acquire() is None
        clock.seconds += 11
        later = await first.acquire()
        assert later is not None
        assert later > token

    asyncio.run(stand(check))


def test_duties_have_holders_of_their_own_and_no_token_in_common():
    """Two duties in one topic: a token for one must not fit the other."""

    async def check(store, make, clock):
        leases = [make('a', 'usage'), make('b', 'scale/x'), make('a', 'roles')]
        tokens = [await one.acquire() for one in leases]
        assert None not in tokens
        assert len(set(tokens)) == len(tokens)
        assert [one.token() for one in leases] == tokens

    asyncio.run(stand(check))


def test_standby_waits_from_its_own_look():
    """A standby that reads the lease often takes over sooner, never early."""

    async def check(store, make, clock):
        holder, standby = make('a'), make('b')
        await holder.acquire()
        grant = await standby.look()
        assert grant.holder == holder.holder
        assert standby.find_wait() >= 9.5
        clock.seconds += 5
        assert await standby.acquire() is None
        clock.seconds += 5
        assert await standby.acquire() > grant.token

    asyncio.run(stand(check))


def test_claim_beside_another_duty_is_tried_again():
    """Another duty's claim gets in between the read and the append."""

    async def check(store, make, clock):
        one, other = make('a', 'usage'), make('b', 'scale/x')
        await asyncio.gather(one.acquire(), other.acquire())
        clock.seconds += 1
        tokens = {await one.acquire(), await other.acquire()}
        assert None not in tokens
        assert len(tokens) == 2

    asyncio.run(stand(check))
