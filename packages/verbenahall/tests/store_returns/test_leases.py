"""Leases on duties when the store returns from an older copy."""

import asyncio
import random

import pytest

from verbenahall.authority import Claim, LeaseTiming
from verbenahall.duties import DutyLease
from verbenahall.platform import StoreClient, StoreEra

from .simulated_store import Clock, SimulatedStore

TIMING = LeaseTiming(lease_s=6, margin_s=3.5)
#: Longest time after a return in which a lost lease may still be in use.
WAIT_S = 6.1 + 3.5
#: What becomes of the calls in a play.
FATES = (*('answered',) * 8, 'lost', 'delayed', 'failed')


class Fleet:
    """Candidates for one duty, each an instance with its own client."""

    def __init__(self, names='ab', fate=None):
        self.clock = Clock()
        self.store = SimulatedStore()
        self.leases = [self.join(name, fate) for name in names]

    def join(self, name, fate=None):
        """Return the candidate of an instance that starts now."""
        client = StoreClient(
            self.store.make_session(fate), 'store:1', StoreEra(self.clock)
        )
        return DutyLease(client, 'roles', name, TIMING, 0, self.clock)


def run(check, *options):
    asyncio.run(check(Fleet(*options)))


def test_token_is_not_given_twice_after_a_return():
    # Two holders had the fencing token 1 after the store had returned.
    async def check(fleet):
        first, second = fleet.leases
        await second.read()
        empty = fleet.store.take_copy()
        token = await first.acquire()
        fleet.store.return_from(empty)
        fleet.clock.seconds += 2 * WAIT_S
        assert await second.acquire() is None
        fleet.clock.seconds += WAIT_S
        assert await second.acquire() > token

    run(check)


def test_token_rises_when_offsets_go_far_back():
    # A later holder's token was lower than that of an earlier one.
    async def check(fleet):
        first, second = fleet.leases
        await second.read()
        copy = fleet.store.take_copy()
        for _ in range(50):
            fleet.clock.seconds += 7
            token = await first.acquire()
        fleet.store.return_from(copy)
        await second.read()
        fleet.clock.seconds += WAIT_S
        assert await second.acquire() > token

    run(check)


def test_lost_lease_is_waited_out():
    # Another instance claimed the duty at once while its holder, whose record
    # was lost, still gave orders.
    async def check(fleet):
        first, second = fleet.leases
        await second.read()
        empty = fleet.store.take_copy()
        await first.acquire()
        fleet.store.return_from(empty)
        assert await second.acquire() is None
        assert first.token() is not None
        fleet.clock.seconds += WAIT_S - 0.2
        assert await second.acquire() is None
        assert first.token() is None
        fleet.clock.seconds += 0.3
        assert await second.acquire() is not None

    run(check)


def test_claim_is_not_read_while_a_lost_lease_may_last():
    # Each instance with changes to order would read the lease three times a
    # second until then.
    async def check(fleet):
        second = fleet.leases[1]
        await second.read()
        fleet.store.return_from({})
        await second.acquire()
        calls = fleet.store.calls
        for _ in range(20):
            fleet.clock.seconds += 0.3
            await second.acquire()
        assert fleet.store.calls == calls

    run(check)


def test_holder_writes_its_lease_again():
    # An instance that started after the return would find no holder.
    async def check(fleet):
        first = fleet.leases[0]
        token = await first.acquire()
        fleet.store.return_from({})
        await first.restore()
        # The store's own answer has not shown its return yet.
        assert not fleet.store.topics
        first._store.era.record_reported(2)
        await first.restore()
        assert first.token() == token
        late = fleet.join('late')
        assert await late.acquire() is None
        assert late.grant.token == token
        fleet.clock.seconds += 7
        assert await first.acquire() == token

    run(check)


def test_lease_is_written_again_over_an_earlier_holder():
    # The copy held the lease of the holder before, which was written as valid.
    async def check(fleet):
        first, second = fleet.leases
        await first.acquire()
        copy = fleet.store.take_copy()
        fleet.clock.seconds += 1
        await first.release()
        token = await second.acquire()
        fleet.store.return_from(copy)
        second._store.era.record_reported(2)
        await second.restore()
        assert second.token() == token
        assert (await first.read()).holder == second.holder
        assert await first.acquire() is None

    run(check)


def test_lease_is_written_again_after_each_of_two_returns():
    async def check(fleet):
        first = fleet.leases[0]
        token = await first.acquire()
        for era in (2, 3):
            fleet.store.return_from({})
            first._store.era.record_reported(era)
            fleet.clock.seconds += 0.4
            await first.restore()
            assert len(fleet.store.newest('keyed.leases')) == 1
        assert first.token() == token

    run(check)


def test_wait_begins_anew_with_a_second_return():
    async def check(fleet):
        first, second = fleet.leases
        await second.read()
        fleet.store.return_from({})
        await second.read()
        fleet.clock.seconds += WAIT_S - 1
        assert await first.acquire() is not None
        fleet.store.return_from({})
        await second.read()
        fleet.clock.seconds += WAIT_S - 0.2
        assert await second.acquire() is None
        fleet.clock.seconds += 0.3
        assert await second.acquire() is not None

    run(check)


def test_claim_at_the_end_of_another_era_is_no_lease():
    # The end that a claim named was that of the earlier era, and the store
    # accepted it, as the topic had the same end again.
    async def check(fleet):
        first, second = fleet.leases
        await second.read()
        empty = fleet.store.take_copy()
        await first.acquire()
        fleet.store.return_from(empty)
        second._end = first._end - 1
        await second._append(Claim(0), token=0)
        assert len(fleet.store.newest('keyed.leases')) == 1
        assert second.token() is None
        assert await second.acquire() is None
        fleet.clock.seconds += WAIT_S
        assert first.token() is None
        # Its record counts as that of another holder.
        assert await second.acquire() is None
        fleet.clock.seconds += WAIT_S
        assert await second.acquire() > first.grant.token

    run(check)


@pytest.mark.parametrize('fate', ['lost', 'delayed'])
def test_claim_whose_answer_is_lost_in_a_return_is_no_lease(fate):
    # The claim may be carried out before the return, after it, or never.
    async def check(fleet):
        fates = ['answered']
        first = fleet.leases[0]
        second = fleet.join('c', lambda method: fates[0])
        await second.read()
        empty = fleet.store.take_copy()
        fates[0] = fate
        await second._append(Claim(0), token=0)
        fleet.store.return_from(empty)
        fleet.store.carry_out_delayed()
        fates[0] = 'answered'
        assert await second.acquire() is None
        fleet.clock.seconds += 3 * WAIT_S
        tokens = {await first.acquire(), await second.acquire()}
        fleet.clock.seconds += WAIT_S
        tokens |= {await first.acquire(), await second.acquire()}
        assert len(tokens - {None}) == 1

    run(check)


def test_frozen_holder_goes_on_below_its_successors_token():
    # A holder that wakes within its lease goes on with its old token; all later
    # tokens must be above it.
    async def check(fleet):
        first, second = fleet.leases
        await second.read()
        old = await first.acquire()
        fleet.store.return_from({})
        await second.read()
        fleet.clock.seconds += WAIT_S
        new = await second.acquire()
        assert first.token() is None
        assert new > old
        assert await first.acquire() is None

    run(check)


@pytest.mark.parametrize('stated', [None, '', 'x', '-1', '1e3', '9' * 30])
def test_odd_era_changes_nothing(stated):
    # An answer without a readable era must neither lower what is known nor
    # end a lease.
    async def check(fleet):
        first, second = fleet.leases
        token = await first.acquire()
        fleet.store.stated_era = stated
        await first.restore()
        assert (await second.read()).token
        assert first.token() == token
        fleet.clock.seconds += 7
        assert await first.acquire() == token

    run(check)


def test_era_that_falls_lowers_no_token():
    async def check(fleet):
        first, second = fleet.leases
        fleet.store.era = 5
        token = await first.acquire()
        await second.read()
        fleet.store.stated_era = '3'
        fleet.clock.seconds += 2 * WAIT_S
        assert await second.acquire() > token
        assert second._store.era.current == 5

    run(check)


def test_era_that_jumps_is_a_return():
    # An instance that was cut off during several returns sees a jump.
    async def check(fleet):
        first, second = fleet.leases
        await second.read()
        token = await first.acquire()
        fleet.store.return_from({})
        fleet.store.era = 4
        assert await second.acquire() is None
        fleet.clock.seconds += WAIT_S
        assert await second.acquire() > token

    run(check)


class Orders:
    """The orders of all instances, judged as an engine sees them.

    A holder's lease ends for sure a separation before another's begins.
    """

    def __init__(self):
        self.sent = []

    def add(self, instance, token, at):
        for other, earlier, sent_at in self.sent:
            if other == instance:
                assert token >= earlier, 'the token of an instance fell'
                continue
            assert token != earlier, 'two instances have one token'
            assert token > earlier, 'a lower token after a higher one'
            assert at - sent_at >= 3, 'two holders within their separation'
        self.sent.append((instance, token, at))


class Play:
    """Instances that order under random faults, in steps."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.orders = Orders()
        self.copies = [fleet.store.take_copy()]
        self.leases = {name: fleet.join(name, self.choose) for name in 'abcd'}
        self.frozen_until = dict.fromkeys(self.leases, 0)

    def choose(self, _method):
        """Choose what becomes of a call."""
        return self.rng.choice(FATES)

    def disturb(self):
        """Advance the clock; return or carry out what was held up."""
        store = self.fleet.store
        self.fleet.clock.seconds += self.rng.uniform(0.02, 0.5)
        self.copies = [*self.copies[-6:], store.take_copy()]
        if self.rng.random() < 0.02:
            store.return_from(self.rng.choice(self.copies))
            self.copies = [store.take_copy()]
        if self.rng.random() < 0.05:
            store.carry_out_delayed()

    async def act(self, name, lease):
        """Let an instance act, unless it is frozen."""
        now = self.fleet.clock.seconds
        if self.rng.random() < 0.01:
            self.frozen_until[name] = now + self.rng.uniform(0.1, 15)
        if now < self.frozen_until[name]:
            return
        if self.rng.random() < 0.7:
            lease._store.era.record_reported(self.fleet.store.era)
            await lease.restore()
        if self.rng.random() < 0.3:
            await lease.acquire()
        if lease.token() is not None and self.rng.random() < 0.5:
            self.orders.add(name, lease.token(), now)


@pytest.mark.parametrize('seed', range(400))
def test_duty_has_one_holder_over_returns(seed):
    # Instances freeze, calls fail, are lost or come late, and the store
    # returns, also twice in a row.
    async def check(fleet):
        play = Play(fleet, random.Random(seed))
        for lease in play.leases.values():
            await lease.read()
        for _ in range(400):
            play.disturb()
            for name, lease in play.leases.items():
                await play.act(name, lease)
        assert play.orders.sent

    run(check, '')
