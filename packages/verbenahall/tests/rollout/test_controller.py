"""A published model is loaded by engines through the whole controller."""

import asyncio
import time
import types

from aiohttp import web
from returns.result import Success

from verbenahall import metrics
from verbenahall.authority import (
    AuthorityState,
    LeaseManager,
    LeaseTiming,
)
from verbenahall.authority import apply_record as apply_authority
from verbenahall.clock import monotonic
from verbenahall.fleet import (
    Endpoint,
    EndpointKind,
    EndpointStatus,
    Role,
    Target,
)
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
    """A log in memory that passes each record to the folds at once."""

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
    """An engine that applies each order at once, and only once.

    As real engines do, it responds to a copy of an order as to the first.
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
        app.router.add_get('/state', self._get_state)
        app.router.add_post('/orders', self._post_order)
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

    async def _get_state(self, request):
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

    async def _post_order(self, request):
        body = await request.json()
        if body['order'] == self.order:
            return web.json_response({}, status=202)
        self.started.append(body)
        self.order = body['order']
        self.fencing = body['fencing']
        self.state = body['target']
        return web.json_response({}, status=202)


class FakeDependencies:
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
        return [(endpoint, EndpointStatus.LIVE) for endpoint in self.endpoints]

    def read_roles(self):
        """Return no roles."""
        return {}


class FrozenOnce(FakeDependencies):
    """Freezes the process for a while during its first plan."""

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
    """Wait for a condition, for ``bound_s`` at most."""
    async with asyncio.timeout(bound_s):
        while not condition():
            await asyncio.sleep(0.02)


async def roll_out(dependencies=FakeDependencies):
    """Run the controller until both engines have got an order."""
    engines = [FakeEngine('e1'), FakeEngine('e2', checks_fencing=False)]
    starts = (engine.start() for engine in engines)
    endpoints = await asyncio.gather(*starts)
    log = MemoryLog()
    lease_manager = LeaseManager(
        log.authority,
        log,
        DATA_CENTRE,
        'one/1',
        LEASE,
        caught_up=lambda: True,
    )
    sender = OrderSender(
        lambda now: lease_manager.find_token(DATA_CENTRE, now), ORDER
    )
    controller = Controller(
        dependencies(endpoints),
        log.orders,
        lease_manager,
        log,
        sender,
        Dispatch(ORDER),
    )
    tasks = [
        asyncio.create_task(part.run()) for part in (lease_manager, controller)
    ]
    await wait_until(lambda: all(engine.started for engine in engines))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await lease_manager.release()
    stops = (engine.runner.cleanup() for engine in engines)
    await asyncio.gather(*stops)
    return engines, log


def test_published_model_reaches_engines():
    """An operator publishes a model for a pool; both engines load it."""
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
    """The process is paused while an engine's response is in its socket.

    The order counts as unanswered and is sent again, and the engine, which is
    applying it, reports once more that it has started. The metric of role
    changes would count two.
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
    # The process is frozen for a second during a plan. If this counted as the
    # plan's cost, the holder would renew its lease and send no order for most
    # of a minute, and an accepted setting would not be applied.
    engines, _ = asyncio.run(roll_out(FrozenOnce))

    assert all(engine.state['models'] == {'drafter': '1'} for engine in engines)
