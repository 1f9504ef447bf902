"""The deployment under test: stand-ins, proxies to them, and instances."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, final

from verbenahall_standins.platform import (
    DutyStandIn,
    EngineStandIn,
    Pause,
    PlainStandIn,
    Site,
    StoreFaults,
    make_route,
    write_settings,
)
from verbenahall_standins.soak._broken_answers import EndpointHistory
from verbenahall_standins.soak._callers import Callers
from verbenahall_standins.soak._cuts import InstanceCuts
from verbenahall_standins.soak._departures import (
    Departure,
    StoreDisturbance,
    find_late_arrivals,
)
from verbenahall_standins.soak._instances import Instance
from verbenahall_standins.soak._links import Cut
from verbenahall_standins.soak._manifests import (
    OTHER_SERVICE,
    Form,
    select_form,
)
from verbenahall_standins.soak._notices import LinkFault
from verbenahall_standins.soak._plan import EVENT_PAUSES_S, Scenario
from verbenahall_standins.soak._proxy import Proxy
from verbenahall_standins.soak._records import Record

_PLAIN: Final = 2
#: Number of engines of each role, as the planner would assign them.
_ENGINES: Final[Mapping[str, int]] = MappingProxyType(
    {'prefill': 3, 'decode': 4},
)
#: Time until an engine that crashed is back, in seconds.
_RESTART_S: Final = 1.0
_POLL_S: Final = 0.1
#: Time in which a manifest may still be in force after the next one, in
#: seconds, with faults of the store.
_IN_FORCE_S: Final = 6.0
#: Plain endpoints where endpoints leave.
_PLAIN_LEAVING: Final = 4
#: Endpoints of a kind of which none leaves, so that requests are served.
_STAYING: Final = 2
#: Time after its last write at which the store removes an entry, in seconds.
_EXPIRY_S: Final = 3.6
#: Changes of an entry that an endpoint counts in a second.
_CHANGES_PER_S: Final = 2.0
#: Ways to leave, but for the removal of the entry, and in which of them answers
#: say so or the endpoint was started again before.
_WAY_CHOICES: Final = 4
_STATED: Final = frozenset((1,))
_STARTED_AGAIN: Final = frozenset((3,))
#: Workspace of the callers.
WORKSPACE: Final = 'desk'
#: Workspace whose key is never replaced.
_OTHER_WORKSPACE: Final = 'council'


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingWay:
    """How an endpoint leaves.

    With ``removed`` its entry is removed, else it says so. With ``is_stated``
    its answers say so, too. With ``starts_again`` it is started again shortly
    before, under its name, so that the counter in its entry begins anew. With
    ``is_relisted`` the store executes an earlier write of the entry after its
    removal, and removes it again when it expires.
    """

    removed: bool
    is_stated: bool
    starts_again: bool
    is_relisted: bool = False

    def __str__(self) -> str:
        """Describe the way for a violation."""
        words = (
            'removed' if self.removed else 'draining',
            'stated' if self.is_stated else 'not stated',
            'started again' if self.starts_again else 'first start',
            *(('listed again by a late write',) if self.is_relisted else ()),
        )
        return ', '.join(words)

    @classmethod
    def select(cls, shape: int) -> 'LeavingWay':
        """Return the way of a drawn number."""
        kind, rest = divmod(shape, _WAY_CHOICES)
        order, removed = divmod(kind, 2)
        return cls(
            removed=removed == 0,
            is_stated=rest in _STATED,
            starts_again=rest in _STARTED_AGAIN,
            is_relisted=removed == 0 and order % 2 == 0,
        )


@final
class Deployment:
    """One site on loopback; ``version`` is that of its newest manifest.

    ``key`` is the callers' API key, ``revoked_key`` their previous one.
    """

    def __init__(
        self,
        folder: Path,
        instance_count: int,
        scenario: Scenario = Scenario.ANY_FAULTS,
    ) -> None:
        """Prepare; nothing is started before ``start``."""
        self._instance_count = instance_count
        self._scenario = scenario
        engines = [
            EngineStandIn(f'{role}-{number}', role)
            for role, count in _ENGINES.items()
            for number in range(count)
        ]
        for place, engine in enumerate(engines):
            engine.faults.restart_s = _RESTART_S
            engine.crashed = self._refuse_connections
            engine.version = f'v{place % 2}'
            engine.faults.event_pause_s = EVENT_PAUSES_S[scenario]
        leaves = scenario is Scenario.LEAVING_ENDPOINTS
        count = _PLAIN_LEAVING if leaves else _PLAIN
        plain = [PlainStandIn(f'page-{number}') for number in range(count)]
        self.key = 'key-1'
        self.revoked_key = ''
        self.site = Site(engines, plain, self._make_tenants())
        #: An endpoint of the service that some manifests have.
        self.other = PlainStandIn('shelf-0')
        #: When manifests were published, in monotonic seconds, with the
        #: shortest timeout of their routes in seconds.
        self.timeouts: list[tuple[float, float]] = []
        for listed in engines:
            listed.restarted = self._relist_engine
        self.duties = DutyStandIn(self.site)
        self._restarts: set[asyncio.Task[None]] = set()
        self.version = 1
        self.links: dict[str, Proxy] = {}
        self.link_faults: list[LinkFault] = []
        self.store_links: list[Proxy] = []
        self.store_disturbances: list[StoreDisturbance] = []
        self.departures: list[Departure] = []
        #: When endpoints last started, in monotonic seconds.
        self._started_at: dict[str, float] = {}
        #: The faults of the store at each instance.
        self._store_faults: dict[str, StoreFaults] = {}
        self.cuts = InstanceCuts()
        self.instances: list[Instance] = []
        self.callers: list[Callers] = []
        self._folder = folder
        self._listed_roles: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._form = Form()

    @property
    def endpoints(self) -> Sequence[EngineStandIn | PlainStandIn]:
        """The endpoints of the services that every manifest has."""
        return (*self.site.engines, *self.site.plain)

    @property
    def all_endpoints(self) -> Sequence[EngineStandIn | PlainStandIn]:
        """All endpoints."""
        return (*self.endpoints, self.other)

    @property
    def plain(self) -> Sequence[PlainStandIn]:
        """All plain endpoints."""
        return (*self.site.plain, self.other)

    async def start(self) -> None:
        """Start all components and wait until the instances are ready."""
        await self.site.start()
        await self.other.start()
        await self.duties.start()
        self._publish()
        for endpoint in self.all_endpoints:
            link = Proxy(endpoint.address)
            await link.start()
            self.links[endpoint.name] = link
            self._list_endpoint(endpoint)
        for number in range(self._instance_count):
            await self._start_instance(f'front-{number}')
        await asyncio.gather(
            *(one.wait_until_ready() for one in self.instances)
        )

    async def stop(self) -> None:
        """Wait for the callers and stop all components."""
        try:
            await asyncio.gather(*(one.stop() for one in self.callers))
        finally:
            # Requests are cancelled when the soak is interrupted.
            await self._stop_components()

    async def _stop_components(self) -> None:
        links = (self.cuts, *self.links.values(), *self.store_links)
        stand_ins = (self.duties, self.other, self.site)
        for component in (*self.instances, *links, *stand_ins):
            await component.stop()

    async def update_entries(self) -> None:
        """Rewrite an engine's entry whenever its role has changed."""
        while True:
            for engine in self.site.engines:
                has_changed = self._listed_roles[engine.name] != engine.role
                if has_changed and not self._has_departed(engine):
                    self._list_endpoint(engine)
            await asyncio.sleep(_POLL_S)

    def replace_endpoint(self, endpoint: EngineStandIn | PlainStandIn) -> None:
        """Replace an endpoint by its next incarnation at the same address."""
        old_name = endpoint.name
        endpoint.notices.restart()
        endpoint.exchanges.break_open()
        base, _, _ = old_name.partition('.')
        endpoint.name = f'{base}.{endpoint.notices.start}'
        self._relist(endpoint, old_name)

    def _relist(
        self, endpoint: EngineStandIn | PlainStandIn, old_name: str
    ) -> None:
        self.site.unlist(old_name)
        self.links[endpoint.name] = self.links.pop(old_name)
        self._listed_roles.pop(old_name)
        self._list_endpoint(endpoint)

    def may_depart(self, endpoint: EngineStandIn | PlainStandIn) -> bool:
        """Whether others of its kind are left, and it does not leave yet."""
        staying = [
            one
            for one in self.endpoints
            if one.role == endpoint.role and not self._has_departed(one)
        ]
        return endpoint in staying and len(staying) > _STAYING

    def depart(
        self, endpoint: EngineStandIn | PlainStandIn, way: LeavingWay
    ) -> None:
        """Let the store have that an endpoint leaves."""
        endpoint.notices.leaving = way.is_stated
        if way.removed:
            self.site.unlist(endpoint.name)
        else:
            self._list_endpoint(endpoint, state='draining')
        self.departures.append(
            Departure(
                endpoint.name,
                endpoint.notices,
                endpoint.notices.start,
                time.monotonic(),
                str(way),
            )
        )

    async def relist(
        self, endpoint: EngineStandIn | PlainStandIn, late_s: float
    ) -> None:
        """Execute a write of an entry after its removal, until it expires."""
        written = self._count_changes(endpoint)
        await asyncio.sleep(late_s)
        self._list_endpoint(endpoint, **written)
        await asyncio.sleep(_EXPIRY_S)
        self.site.unlist(endpoint.name)

    def start_again(self, endpoint: EngineStandIn | PlainStandIn) -> None:
        """Start an endpoint, whose entry has changed, again under its name."""
        self._list_endpoint(endpoint)
        endpoint.notices.restart()
        endpoint.exchanges.break_open()
        self._started_at.pop(endpoint.name, None)
        self._list_endpoint(endpoint)

    async def refuse_at_store(
        self, instances: Sequence[Instance], status: int, for_s: float
    ) -> None:
        """Let the store refuse instances; the status 0 is a reset."""
        names = frozenset(one.name for one in instances)
        refused = [self._store_faults[name] for name in names]
        started_at = time.monotonic()
        for faults in refused:
            faults.down = status
            faults.reset = not status
        await asyncio.sleep(for_s)
        for served in refused:
            served.down = 0
            served.reset = False
        self.store_disturbances.append(
            StoreDisturbance(started_at, time.monotonic(), names)
        )

    def list_late_arrivals(self, records: Sequence[Record]) -> Iterable[str]:
        """Describe the requests that arrived too late after a departure."""
        return find_late_arrivals(
            self.departures, records, self._was_out_of_touch
        )

    def _was_out_of_touch(self, name: str, start: float, end: float) -> bool:
        """Whether an instance or the store was disturbed between two times."""
        return self.was_disturbed(name, start, end) or any(
            one.affects(name, start, end) for one in self.store_disturbances
        )

    def _has_departed(self, endpoint: EngineStandIn | PlainStandIn) -> bool:
        return any(
            one.notices is endpoint.notices
            and one.start == endpoint.notices.start
            for one in self.departures
        )

    async def _refuse_connections(self, engine: EngineStandIn) -> None:
        """Let the links to a crashed engine refuse connections as it does."""
        address = self.links[engine.name].address
        await self.cuts.set_endpoint(address, Cut.RESET)

    def _relist_engine(self, engine: EngineStandIn, old_name: str) -> None:
        """List an engine that is back after a crash, and open its links."""
        self._relist(engine, old_name)
        address = self.links[engine.name].address
        task = asyncio.create_task(self.cuts.set_endpoint(address, Cut.NONE))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def was_disturbed(self, name: str, start: float, end: float) -> bool:
        """Whether an instance was restarted, frozen or cut between two times.

        Endpoints get the requests of an instance that is cut off from others.
        """
        was_restarted = any(
            instance.was_restarted(start, end)
            for instance in self.instances
            if instance.name == name
        )
        return was_restarted or self.cuts.was_cut(name, start, end)

    def publish(self) -> None:
        """Publish a manifest with one more route."""
        self.version += 1
        self._publish()

    def change_routes(self, shape: int) -> None:
        """Publish a manifest whose routes and limits differ."""
        self._form = select_form(shape)
        self.publish()

    def find_limit(self, record: Record) -> float:
        """Return when the time of a request is over, in monotonic seconds.

        Manifests count that may have been in force since the request was sent.
        """
        earliest_at = record.sent_at - _IN_FORCE_S
        timeouts = [
            timeout_s
            for place, (_, timeout_s) in enumerate(self.timeouts)
            if self._find_next_manifest_at(place) > earliest_at
            and self.timeouts[place][0] <= record.ended_at
        ]
        return record.sent_at + min(record.wait_s, *timeouts)

    def list_histories(self) -> Sequence[EndpointHistory]:
        """Return what happened at each endpoint and its link."""
        return [
            EndpointHistory(
                endpoint.name,
                endpoint.exchanges.records,
                endpoint.exchanges.pauses,
                [
                    (fault.link, Pause(fault.started_at, fault.ended_at))
                    for fault in self.link_faults
                    if fault.notices is endpoint.notices
                ],
            )
            for endpoint in self.all_endpoints
        ]

    def _find_next_manifest_at(self, place: int) -> float:
        later = self.timeouts[place + 1 :]
        return later[0][0] if later else float('inf')

    def _publish(self) -> None:
        self.timeouts.append((time.monotonic(), self._form.timeout_s))
        self.site.publish(
            added=[
                make_route(f'/v{version}/', 'idempotent', 'pages')
                for version in range(2, self.version + 1)
            ],
            **self._form.list_fields(),
        )

    def replace_key(self) -> None:
        """Replace the callers' API key and revoke the previous one."""
        self.revoked_key = self.key
        self.key = f'key-{self.site.version + 1}'
        self.site.manifest = self._make_tenants()
        self.publish()

    def _make_tenants(self) -> dict[str, Any]:
        tenants = ((WORKSPACE, self.key), (_OTHER_WORKSPACE, 'other-key'))
        return {
            'tenants': [
                {'name': name, 'apiKeys': [key]} for name, key in tenants
            ],
        }

    async def _start_instance(self, name: str) -> None:
        address = self.site.store.address
        if self._scenario is Scenario.LEAVING_ENDPOINTS:
            faults = StoreFaults()
            entrance = await self.site.store.open_entrance(faults)
            address = entrance.address
            self._store_faults[name] = faults
        link = Proxy(address)
        await link.start()
        self.store_links.append(link)
        path = write_settings(
            self._folder,
            link.address,
            name,
            self.duties.address,
        )
        links_path = path.with_suffix('.links')
        await self.cuts.add_instance(
            name, links_path, [one.address for one in self.links.values()]
        )
        instance = Instance(name, path, links_path)
        await instance.start()
        self.instances.append(instance)
        callers = Callers(
            instance,
            self._numbers,
            lambda: self.version,
            lambda: self.key,
            self,
        )
        await callers.start()
        self.callers.append(callers)

    def _list_endpoint(
        self, endpoint: EngineStandIn | PlainStandIn, **fields: Any
    ) -> None:
        self._listed_roles[endpoint.name] = endpoint.role
        address = self.links[endpoint.name].address
        changes = {} if endpoint.role else self._list_service(endpoint)
        if self._scenario is Scenario.LEAVING_ENDPOINTS:
            changes = {**changes, **self._count_changes(endpoint)}
        entry = {'address': address, **changes, **fields}
        self.site.list_endpoint(endpoint, **entry)

    def _count_changes(
        self, endpoint: EngineStandIn | PlainStandIn
    ) -> Mapping[str, int]:
        """Return the counter of an entry, which begins anew at a start.

        Nothing else in the entry distinguishes two starts under a name.
        """
        now = time.monotonic()
        lived_s = now - self._started_at.setdefault(endpoint.name, now)
        return {'seq': 1 + int(lived_s * _CHANGES_PER_S), 'born': 0}

    def _list_service(self, endpoint: PlainStandIn) -> Mapping[str, str]:
        is_other = endpoint is self.other
        return {'service': OTHER_SERVICE} if is_other else {}
