"""A published model gets onto engines through the whole controller."""

import asyncio
import time
import types

from aiohttp import web
from returns.result import Success

from verbenahall import metrics
from verbenahall.authority import (
    AuthorityState,
    LeaseKeeper,
    LeaseTiming,
)
from verbenahall.authority import apply_record as apply_authority
from verbenahall.clock import monotonic
from verbenahall.fleet import Endpoint, EndpointKind, Role, Standing, Target
from verbenahall.orders import (
    Dispatch,
    Order,
    OrderSender,
    OrdersState,
    OrderTiming,
    Outcome,
)
from verbenahall.orders import apply_record as apply_orders
from verbenahall.records import Record
from verbenahall.rollout import Controller
from verbenahall.rollout._decision_log import SentOrderLog

DATA_CENTRE = 'cardigan'
LEASE = LeaseTiming(lease_s=0.6, margin_s=0.05)
ORDER = OrderTiming(order_timeout_s=0.3, longest_pause_s=0.2)


class MemoryLog:
    """A log in memory that hands each record to the folds at once."""

    def __init__(self):
        self.records = []
        self.authority = AuthorityState()
        self.orders = OrdersState(self.authority)

    async def append(self, stream, body):
        """Append and fold one record."""
        await asyncio.sleep(0)
        record = Record(len(self.records) + 1, stream, '', body)
        self.records.append(record)
        apply_authority(self.authority, record, monotonic())
        apply_orders(self.orders, record)
        return Success(record.offset)


class FakeEngine:
    """An engine that takes every order at once, and starts it once.

    As real engines do, it answers a copy of an order as it has answered it.
    """

    def __init__(self, name, **settings):
        self.name = name
        self.settings = settings
        self.state = {'role': 'mixed', 'models': {}, 'adapters': []}
        self.order = ''
        self.fencing = 0
        self.started = []

    async def start(self):
        """Listen on a free port and return the endpoint."""
        app = web.Application()
        app.router.add_get('/state', self._tell)
        app.router.add_post('/orders', self._obey)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = self.runner.addresses[0][1]
        return Endpoint(
            self.name,
            EndpointKind.ENGINE,
            f'127.0.0.1:{port}',
            DATA_CENTRE,
            'i1',
            **self.settings,
        )

    async def _tell(self, request):
        return web.json_response(
            {
                'name': self.name,
                'incarnation': 'i1',
                'order': self.order,
                'fencing': self.fencing,
                'changing': False,
                'running': 0,
                'queued': 0,
                **self.state,
            },
        )

    async def _obey(self, request):
        body = await request.json()
        if body['order'] == self.order:
            return web.json_response({}, status=202)
        self.started.append(body)
        self.order = body['order']
        self.fencing = body['fencing']
        self.state = body['target']
        return web.json_response({}, status=202)


class Surroundings:
    """Settings with one model for two engines."""

    def __init__(self, endpoints):
        self.endpoints = endpoints
        self.settings = types.SimpleNamespace(
            models={
                'drafter': types.SimpleNamespace(
                    version='1',
                    floor=0,
                    weight_gb=1.0,
                ),
            },
            adapters={},
            drains={},
            pools={
                'main': types.SimpleNamespace(
                    data_centre=DATA_CENTRE,
                    engines=('e1', 'e2'),
                    models=('drafter',),
                    adapters=(),
                    prefill=1,
                    decode=0,
                    automatic=False,
                ),
            },
        )

    def read_settings(self):
        """Return the settings."""
        return self.settings

    def list_engines(self, now):
        """Return both engines as live."""
        return [(endpoint, Standing.LIVE) for endpoint in self.endpoints]

    def read_roles(self):
        """Return no roles."""
        return {}


class FrozenOnce(Surroundings):
    """The process is frozen for a while in the middle of its first plan."""

    def __init__(self, endpoints):
        """Start before the freeze."""
        super().__init__(endpoints)
        self.frozen = False

    def read_settings(self):
        """Return the settings, the first time after a freeze."""
        if not self.frozen:
            self.frozen = True
            time.sleep(1)
        return super().read_settings()


async def wait_until(condition, bound_s=20):
    """Wait for a condition with a generous bound."""
    async with asyncio.timeout(bound_s):
        while not condition():
            await asyncio.sleep(0.02)


async def roll_out(surroundings=Surroundings):
    """Run keeper and controller until both engines are done."""
    engines = [FakeEngine('e1'), FakeEngine('e2', checks_fencing=False)]
    starts = (engine.start() for engine in engines)
    endpoints = await asyncio.gather(*starts)
    log = MemoryLog()
    keeper = LeaseKeeper(
        log.authority,
        log,
        DATA_CENTRE,
        'one/1',
        LEASE,
        caught_up=lambda: True,
    )
    sender = OrderSender(lambda now: keeper.held(DATA_CENTRE, now), ORDER)
    controller = Controller(
        surroundings(endpoints),
        log.orders,
        keeper,
        log,
        sender,
        Dispatch(ORDER),
    )
    tasks = [asyncio.create_task(part.run()) for part in (keeper, controller)]
    await wait_until(lambda: all(engine.started for engine in engines))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await keeper.release()
    stops = (engine.runner.cleanup() for engine in engines)
    await asyncio.gather(*stops)
    return engines, log


def test_published_model_reaches_engines():
    """An operator publishes a model for a pool; both engines get it."""
    metrics.ROLE_CHANGES.add({}, 0)
    changed = metrics.ROLE_CHANGES.get({})
    engines, log = asyncio.run(roll_out())
    roles = [engine.state['role'] for engine in engines]

    assert roles == ['prefill', 'mixed']
    assert metrics.ROLE_CHANGES.get({}) == changed + 1
    assert all(engine.state['models'] == {'drafter': '1'} for engine in engines)
    assert all(len(engine.started) == 1 for engine in engines)
    assert log.records[-1].body['kind'] == 'release'


def test_order_that_is_sent_again_is_one_role_change():
    """The process stands still while an engine's answer is there to be read.

    It takes the order for unanswered and sends it again; the engine, which is
    at it, says again that it has started. Operators who watch role changes
    would see two of them.
    """
    metrics.ROLE_CHANGES.add({}, 0)
    before = metrics.ROLE_CHANGES.get({})
    sent = SentOrderLog()
    target = Target(Role.PREFILL)
    for offset in (3, 3, 9):
        order = Order(offset, 0, 'e1', 'i1', target, DATA_CENTRE, 1)
        sent.log(order, Outcome.STARTED, Role.MIXED)

    assert metrics.ROLE_CHANGES.get({}) == before + 2


def test_freeze_in_a_plan_does_not_hold_up_the_next_one():
    # A machine freezes its process for a second just as it plans. Counted as
    # the plan's cost, the second would be followed by most of a minute in
    # which the holder renews its lease and orders nothing, and an accepted
    # setting takes hold nowhere.
    engines, _ = asyncio.run(roll_out(FrozenOnce))

    assert all(engine.state['models'] == {'drafter': '1'} for engine in engines)
