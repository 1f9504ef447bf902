"""A fleet of simulated instances that follow the store's topics."""

import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import random
from collections.abc import (
    AsyncIterator,
    Callable,
    Coroutine,
    Mapping,
    Sequence,
)
from typing import Any, Final, final

from verbenahall import wire
from verbenahall.gateway import Core, Topics
from verbenahall.peers import PeerExchange, add_peer
from verbenahall.platform import (
    ENDPOINTS_TOPIC,
    MANIFEST_KEY,
    OPERATOR_TOPIC,
    Bounds,
    ProcessSettings,
)
from verbenahall.supervisor import Loop
from verbenahall_standins.platform import make_manifest, make_route
from verbenahall_standins.spread._loop import open_virtual_loop
from verbenahall_standins.spread._network import (
    Answer,
    Host,
    Network,
    Refusal,
    Session,
)
from verbenahall_standins.spread._store import SimulatedStore

_STORE: Final = '10.200.0.1:80'
_STORE_MEGABITS: Final = 4000.0
_PORT: Final = 7000
_BYTE: Final = 256
#: Interval at which it is checked which version is in force, in seconds.
_CHECK_S: Final = 0.01
_BOUNDS: Final = Bounds(
    leaving_s=3,
    manifest_s=3,
    grace_s=8,
    lease_s=3,
    retry_share=0,
    retry_window_s=10,
    retry_slack=0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """What a fleet consists of.

    In each data centre the first ``fast_count`` instances have links of
    ``fast_megabits``, the others of ``megabits``.
    """

    instances: int = 84
    data_centres: int = 3
    megabits: float = 5
    fast_count: int = 2
    fast_megabits: float = 100
    seed: int = 1


@final
class Instance:
    """One instance: its host, and the part of it that follows topics."""

    __slots__ = ('core', 'exchange', 'host', 'topics', '_server')

    def __init__(
        self, host: Host, settings: ProcessSettings, network: Network
    ) -> None:
        """Join the network; nothing is called before ``list_work``."""
        session: Any = Session(network, host)
        core = Core(settings, session)
        self.host = host
        self.core = core
        self.exchange = PeerExchange(core.peer_table, core.placement, _ignore)
        transport: Any = _Transport(network, host)
        self.exchange.connection_made(transport)
        self.topics = Topics(core, self.exchange)
        self._server = self.topics.make_server(_forward)
        host.handle_call = self._answer
        host.handle_datagram = self._receive

    @property
    def version(self) -> int:
        """The version of the manifest in force, 0 without one."""
        catalog = self.core.catalog.catalog
        return catalog.version if catalog else 0

    @property
    def follows_manifest(self) -> bool:
        """Whether this instance polls the store for manifests."""
        return self.topics.followers[OPERATOR_TOPIC].is_polling_store()

    def list_work(self) -> Sequence[Loop]:
        """Return the loops to run."""
        return (self.exchange.run, *self.topics.list_loops().values())

    @contextlib.asynccontextmanager
    async def _answer(
        self, caller: str, _path: str, query: Mapping[str, str]
    ) -> AsyncIterator[Answer]:
        await self.host.runs.wait()
        ip = caller.partition(':')[0]
        with self._server.open_answer(ip, query) as found:
            yield Answer(found.status, found.body, found.headers)

    def _receive(self, data: bytes, sender: str) -> None:
        ip, _, port = sender.partition(':')
        self.exchange.datagram_received(data, (ip, int(port)))


@final
class Fleet:
    """Instances that know each other, and their store."""

    __slots__ = ('instances', 'network', 'random', 'store', '_version')

    def __init__(self, plan: FleetPlan) -> None:
        """Build the instances, with a manifest in the store."""
        self.random = random.Random(plan.seed)
        self.network = Network(self.random)
        self.store = SimulatedStore(self.network, _STORE, _STORE_MEGABITS)
        self._version = 0
        self.instances = [
            self._build(plan, number) for number in range(plan.instances)
        ]
        for one in self.instances:
            for peer in self.instances:
                settings = peer.core.settings
                add_peer(
                    one.core.peer_table,
                    settings.name,
                    peer.host.address,
                    settings.data_centre,
                    settings.cores,
                )

    @property
    def running(self) -> Sequence[Instance]:
        """The instances that don't stand still."""
        return [one for one in self.instances if one.host.runs.is_set()]

    def refuse(self, share: float, refusal: Refusal) -> None:
        """Let the store refuse a share of the instances from now on."""
        count = round(len(self.instances) * share)
        for one in self.random.sample(self.instances, count):
            one.host.refusal = refusal

    def list_followers(self) -> Sequence[Instance]:
        """Return the instances that poll the store for manifests."""
        return [one for one in self.running if one.follows_manifest]

    def publish(self, routes: int = 0) -> int:
        """Write the next manifest, with more routes; return its version."""
        self._version += 1
        manifest = make_manifest(self._version)
        manifest['routes'] += [
            make_route(f'/{_make_path(number)}/', 'idempotent', 'pages')
            for number in range(routes)
        ]
        self.store.append(OPERATOR_TOPIC, MANIFEST_KEY, wire.encode(manifest))
        return self._version

    async def measure(self, version: int, limit_s: float = 8) -> list[float]:
        """Return the times until a version is in force, the longest last.

        They count from this call; an instance that doesn't get the version
        within ``limit_s`` counts with infinity.
        """
        started = asyncio.get_running_loop().time()
        ages: list[float] = []
        missing = list(self.running)
        while missing:
            age_s = asyncio.get_running_loop().time() - started
            late = [one for one in missing if one.version < version]
            reached = len(missing) - len(late)
            ages.extend(itertools.repeat(age_s, reached))
            if age_s > limit_s:
                ages.extend(itertools.repeat(float('inf'), len(late)))
                break
            missing = late
            await asyncio.sleep(_CHECK_S)
        return ages

    def _build(self, plan: FleetPlan, number: int) -> Instance:
        place, centre = divmod(number, plan.data_centres)
        ip = '10.{0}.{1}.{2}'.format(centre, *divmod(place, _BYTE))
        address = f'{ip}:{_PORT}'
        is_fast = place < plan.fast_count
        megabits = plan.fast_megabits if is_fast else plan.megabits
        settings = ProcessSettings(
            name=f'front-{number}',
            ip=ip,
            data_centre=f'centre-{centre}',
            callers=address,
            readiness=address,
            peer_port=_PORT,
            metrics_port=_PORT,
            store=_STORE,
            cores=1,
            bounds=_BOUNDS,
            link_megabits=megabits,
        )
        host = self.network.add_host(address, megabits)
        built = Instance(host, settings, self.network)
        # The same plan gives the same result.
        built.core.random.seed(f'{plan.seed}/{number}')
        return built


@final
class _Transport:
    """Sends the datagrams of a host."""

    __slots__ = ('_host', '_network')

    def __init__(self, network: Network, host: Host) -> None:
        self._host = host
        self._network = network

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        ip, port = address
        self._network.send_datagram(self._host, f'{ip}:{port}', data)


@contextlib.asynccontextmanager
async def _open_fleet(plan: FleetPlan) -> AsyncIterator[Fleet]:
    fleet = Fleet(plan)
    fleet.store.append(ENDPOINTS_TOPIC, 'none', b'{}')
    version = fleet.publish()
    tasks = [
        asyncio.create_task(work())
        for one in fleet.instances
        for work in one.list_work()
    ]
    await fleet.measure(version)
    try:
        yield fleet
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def run_fleet(
    plan: FleetPlan, scenario: Callable[[Fleet], Coroutine[Any, Any, Any]]
) -> Any:
    """Run a scenario on a new fleet in virtual time; return its result.

    For example, the time until the last of 84 instances has a manifest::

        async def publish(fleet):
            return (await fleet.measure(fleet.publish(routes=1400)))[-1]

        print(run_fleet(FleetPlan(), publish))
    """

    with open_virtual_loop() as loop:
        return loop.run_until_complete(_run(plan, scenario))


async def _run(
    plan: FleetPlan, scenario: Callable[[Fleet], Coroutine[Any, Any, Any]]
) -> Any:
    async with _open_fleet(plan) as fleet:
        return await scenario(fleet)


def _make_path(number: int) -> str:
    """Return a path that compresses badly."""
    return hashlib.sha256(str(number).encode()).hexdigest()


def _ignore(engine: str) -> None:
    """Ignore an engine that changes its role."""


async def _forward(request: Any) -> Any:
    raise NotImplementedError('no caller sends requests')
