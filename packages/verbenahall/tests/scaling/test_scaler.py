"""The holder of the duty: its records, refused orders and its successor."""

import asyncio

import pytest
from verbenahall_standins.platform import StoreStandIn

from verbenahall import journal
from verbenahall.authority import LeaseTiming
from verbenahall.capacity import (
    CapacityKind,
    Demand,
    DemandMeter,
    Pool,
    ServiceTraits,
    decode_sum,
)
from verbenahall.catalog import ScalingRules
from verbenahall.duties import DutyLease, Succession
from verbenahall.peers import (
    PeerExchange,
    PeerTable,
    add_peer,
    encode_heartbeat,
)
from verbenahall.placement import PlacementState, Totals
from verbenahall.platform import DutyOutcome, StoreClient, make_session
from verbenahall.roster import LAPSE_GRACE_S, Roster, RosterRules
from verbenahall.roster._messages import Entry, Listing
from verbenahall.scaling import Dependencies, ScaledService, Scaler
from verbenahall.scaling import _shell as shell
from verbenahall.scaling._records import OrderRecord, OrderRecords

RULES = ScalingRules(1, 20, 4, 0.18, {'a': 0.8, 'b': 1.0, 'c': 1.25})
TRAITS = ServiceTraits(8, 0.56)
DRAFTER = 'drafter'
SPOT = Pool('a', CapacityKind.SPOT)


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.seconds = 100

    def __call__(self):
        return self.seconds


class Platform:
    """Records orders; ``answer`` is called with each of them."""

    def __init__(self):
        self.orders = []
        self.answer = accept

    async def scale(self, lease_token, service, order):
        self.orders.append((lease_token.token, order))
        return await self.answer(order)


async def accept(order):
    return DutyOutcome.DONE


async def refuse(order):
    return DutyOutcome.FENCED


class Instance:
    """An instance with its scaler and nine engines, three a data centre."""

    def __init__(self, name, store, clock, platform, rules=RULES):
        timing = LeaseTiming(shell.LEASE_S, margin_s=3.5)
        self.clock = clock
        self.placement = PlacementState()
        self.roster = Roster(RosterRules(LAPSE_GRACE_S, LAPSE_GRACE_S))
        self.peer_table = PeerTable(name, 'a')
        self.lease = DutyLease(store, shell.DUTY, name, timing, 0, clock)
        self.meter = DemandMeter(self.placement)
        self.exchange = PeerExchange(
            self.peer_table, self.placement, lambda engine: None
        )
        self.services = {DRAFTER: ScaledService(rules, TRAITS)}
        self.scaler = Scaler(
            Dependencies(
                name=name,
                store=store,
                calls=platform,
                lease=self.lease,
                succession=Succession(self.lease, self.peer_table, clock, 6),
                exchange=self.exchange,
                peer_table=self.peer_table,
                meter=self.meter,
                load_table=self.placement.load_table,
                roster=self.roster,
                list_services=lambda: self.services,
                is_list_current=lambda: True,
                now=clock,
            ),
        )
        for number in range(9):
            centre = 'abc'[number % 3]
            entry = Entry(f'e-{number}', DRAFTER, '', centre, leaving=False)
            self.roster.listings[entry.name] = Listing(entry)
        self.scaler._holds_duty = True

    async def tick(self):
        """Send prefills of 4 engine-seconds per second, and decide once."""
        self.clock.seconds += 0.4
        for _ in range(8):
            self.meter.record_prefill(DRAFTER, 0.2, self.clock.seconds)
        self.scaler._demand._record_all(self.clock.seconds)
        if self.scaler._holds_duty:
            await self.scaler._scale_all(self.services)

    async def run_until_ordered(self, platform):
        """Decide until an order was sent."""
        sent = len(platform.orders)
        for _ in range(60):
            await self.tick()
            if len(platform.orders) > sent:
                return
        raise AssertionError('nothing was ordered')


def run_with_store(check):
    async def run():
        journal.recent.clear()
        store = StoreStandIn()
        await store.start()
        session = make_session()
        client = StoreClient(session, store.address)
        try:
            await check(store, client, Clock(), Platform())
        finally:
            await session.close()
            await store.stop()

    asyncio.run(run())


def list_events(name):
    return [line for line in journal.recent if line['event'] == name]


def test_orders_are_recorded_before_they_are_sent():
    # The holder is killed between its decision and its orders. A successor
    # that knew nothing of it would wait for no engine, or order twice.
    async def check(store, client, clock, platform):
        seen = []

        async def answer(order):
            seen.append(len(store.newest('keyed.scaling')))
            return DutyOutcome.DONE

        platform.answer = answer
        holder = Instance('front-1', client, clock, platform)
        await holder.run_until_ordered(platform)
        assert min(seen) == 1
        records = OrderRecords(client)
        assert await records.read()
        record = records.known[DRAFTER]
        token, order = platform.orders[0]
        assert record.token == token
        assert record.targets[SPOT] == order.engines
        assert record.demand.prefill_s > 0

    run_with_store(check)


def test_nothing_is_ordered_without_the_store():
    # An order that is not recorded is unknown to the successor.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)
        await holder.tick()
        store.faults.down = 503
        for _ in range(50):
            await holder.tick()
        assert not platform.orders
        store.faults.down = 0
        await holder.run_until_ordered(platform)

    run_with_store(check)


def test_record_of_a_successor_is_not_overwritten():
    # A holder that was suspended resumes after another one has taken over.
    async def check(store, client, clock, platform):
        first, second = OrderRecords(client), OrderRecords(client)
        await first.read()
        await second.read()
        record = OrderRecord({SPOT: 3}, 5, Demand(1, 2, 3))
        assert await second.write(DRAFTER, record)
        late = OrderRecord({SPOT: 9}, 4, Demand())
        assert not await first.write(DRAFTER, late)
        await first.read()
        assert first.known == {DRAFTER: record}

    run_with_store(check)


def test_holder_steps_down_when_a_successor_has_recorded_orders():
    # It was suspended while it wrote its record, and the write is refused. It
    # must not send orders that the platform would have to fence.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)
        for _ in range(5):
            await holder.tick()
        successor = OrderRecords(client)
        await successor.read()
        record = OrderRecord({SPOT: 3}, holder.lease.token() + 5, Demand())
        assert await successor.write(DRAFTER, record)
        for _ in range(40):
            await holder.tick()
        assert not platform.orders
        lost = list_events('duty_lost')
        assert [line['reason'] for line in lost] == [
            'a higher token was recorded'
        ]

    run_with_store(check)


def test_refusal_after_the_end_of_the_lease_is_no_higher_token():
    # The lease is acquired again only after it has ended, so it may end during
    # a call. The platform refuses the order, as there are no such engines.
    # The holder took this for a higher token, discarded its own and stepped
    # down, and for ten seconds nobody ordered engines.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)

        async def answer(order):
            clock.seconds += 6
            return DutyOutcome.FENCED

        platform.answer = answer
        await holder.run_until_ordered(platform)
        assert holder.lease.token() is None
        assert not list_events('duty_lost')
        platform.answer = accept
        await holder.run_until_ordered(platform)
        assert len({token for token, _ in platform.orders}) == 1
        assert not list_events('duty_lost')

    run_with_store(check)


def test_higher_token_ends_the_duty_and_no_order_is_repeated():
    # Another instance has claimed the lease while this one was suspended.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)
        other = Instance('front-2', client, clock, Platform())

        async def answer(order):
            await other.lease.read()
            clock.seconds += 11
            assert await other.lease.acquire()
            return DutyOutcome.FENCED

        platform.answer = answer
        await holder.run_until_ordered(platform)
        for _ in range(3):
            await holder.tick()
        assert len(platform.orders) == 1
        lost = list_events('duty_lost')
        assert [line['reason'] for line in lost] == ['a higher token was seen']

    run_with_store(check)


def test_refused_removal_discards_the_token():
    # Removing engines needs no capacity, so the token itself was refused, by a
    # platform that has seen a higher one. With the same token the order would
    # be refused for ever.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)
        await holder.run_until_ordered(platform)
        pool = Pool('a', CapacityKind.ON_DEMAND)
        token = holder.lease.token()
        platform.answer = refuse
        await holder.scaler._send_order(shell._Order(DRAFTER, pool, 1, token))
        assert holder.lease.token() is None
        assert not holder.scaler._holds_duty

    run_with_store(check)


def test_successor_does_not_repeat_the_orders_of_its_predecessor():
    # No spot engines are available, and every order is refused. The successor
    # sent all of them again at once, and each was answered ``fenced`` though
    # nobody held a higher token.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)
        platform.answer = refuse
        await holder.run_until_ordered(platform)
        refused = len(platform.orders)
        successor = Instance('front-2', client, clock, platform)
        await successor.lease.read()
        clock.seconds += 10
        for _ in range(15):
            await successor.tick()
        assert list_events('scaling_resumed')
        assert len(platform.orders) == refused
        for _ in range(10):
            await successor.tick()
        assert len(platform.orders) > refused
        tokens = [token for token, _ in platform.orders]
        assert tokens[-1] > tokens[0]

    run_with_store(check)


@pytest.mark.parametrize(
    'rules',
    [
        ScalingRules(1, 20, 0, 0.18, RULES.prices),
        ScalingRules(1, 20, 4, 0.18, {}),
    ],
)
def test_invalid_rules_leave_the_size_and_are_logged_once(rules):
    # A size that is computed from such rules would mean nothing.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform, rules)
        for _ in range(40):
            await holder.tick()
        assert not platform.orders
        assert len(list_events('scaling_rules_invalid')) == 1

    run_with_store(check)


class Sender(Instance):
    """One of two instances of a data centre in a large fleet."""

    def __init__(self, name, neighbour, holder, *rest):
        super().__init__(name, *rest)
        self.sent = []
        self.exchange.send = lambda *message: self.sent.append(message)
        for number in range(30):
            add_peer(self.peer_table, f'far-{number}', '1:1', 'b')
        add_peer(self.peer_table, holder, '9:9', 'c')
        add_peer(self.peer_table, neighbour, '2:2', 'a')
        peer = self.peer_table.peers[neighbour]
        peer.last_heartbeat_at = self.clock.seconds
        peer.demand = {DRAFTER: Demand(2, 5, 10)}
        self.placement.load_table.open('e-1', Totals(streams=3))


def test_one_instance_of_a_data_centre_sends_its_sum_to_the_holder():
    # Heartbeats of a large fleet stay within a data centre. The holder in
    # another one must know the demand of all of them.
    async def check(store, client, clock, platform):
        holder = Instance('front-x', client, clock, platform)
        await holder.lease.acquire()
        rest = ('front-x', client, clock, platform)
        senders = (
            Sender('front-1', 'front-2', *rest),
            Sender('front-2', 'front-1', *rest),
        )
        for one in senders:
            await one.scaler._demand._report(clock.seconds)
        sent = senders[0].sent + senders[1].sent
        assert [address for _, address in sent] == ['9:9']
        demand_sum = decode_sum(sent[0][0]).unwrap()
        assert demand_sum.data_centre == 'a'
        assert demand_sum.demands[DRAFTER] == Demand(2, 8, 10)
        assert holder.exchange.datagram_handler(sent[0][0], '2:2')
        table = holder.scaler._demand.table
        assert table.total(DRAFTER, clock.seconds) == Demand(2, 8, 10)

    run_with_store(check)


def test_services_without_rules_send_no_demand():
    # Deployments without scaling rules must send the heartbeats of before.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)
        holder.meter.record_prefill(DRAFTER, 0.2, clock.seconds)
        assert holder.exchange.get_demand()
        holder.services = {}
        assert not holder.exchange.get_demand()

    run_with_store(check)


def test_holder_knows_the_demand_of_its_peers_by_their_heartbeats():
    # In a small fleet no other message carries it. Sized by its own callers
    # only, the service would lose most of its engines.
    async def check(store, client, clock, platform):
        holder = Instance('front-1', client, clock, platform)
        peer = Instance('front-2', client, clock, platform)
        for _ in range(50):
            peer.meter.record_prefill(DRAFTER, 0.1, clock.seconds)
        heartbeat = encode_heartbeat(peer.exchange._make_heartbeat({}, {}))
        holder.exchange.datagram_received(heartbeat, ('127.0.0.1', 9))
        received_at = holder.peer_table.peers['front-2'].last_heartbeat_at
        holder.scaler._demand._record_all(received_at)
        table = holder.scaler._demand.table
        demand = table.total(DRAFTER, received_at)
        assert demand.prefill_s == pytest.approx(2.5)
        assert demand.prefills == pytest.approx(25)

    run_with_store(check)
