"""The deployment under test: stand-ins, proxies to them, and instances."""

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, final

from verbenahall_standins.platform import (
    DutyStandIn,
    EngineStandIn,
    PlainStandIn,
    Site,
    make_route,
    write_settings,
)
from verbenahall_standins.soak._callers import Callers
from verbenahall_standins.soak._cuts import InstanceCuts
from verbenahall_standins.soak._instances import Instance
from verbenahall_standins.soak._links import Cut
from verbenahall_standins.soak._notices import LinkFault
from verbenahall_standins.soak._proxy import Proxy

_PLAIN: Final = 2
#: Number of engines of each role, as the planner would assign them.
_ENGINES: Final[Mapping[str, int]] = MappingProxyType(
    {'prefill': 3, 'decode': 4},
)
#: Time between two events of a stream, in seconds, so that streams are open
#: while instances end.
_EVENT_PAUSE_S: Final = 0.04
#: Time until an engine that crashed is back, in seconds.
_RESTART_S: Final = 1.0
_POLL_S: Final = 0.1
#: Workspace of the callers.
WORKSPACE: Final = 'desk'
#: Workspace whose key is never replaced.
_OTHER_WORKSPACE: Final = 'council'


@final
class Deployment:
    """One site on loopback; ``version`` is that of its newest manifest.

    ``key`` is the callers' API key, ``revoked_key`` their previous one.
    """

    def __init__(self, folder: Path, instance_count: int) -> None:
        """Prepare; nothing is started before ``start``."""
        self._instance_count = instance_count
        engines = [
            EngineStandIn(f'{role}-{number}', role)
            for role, count in _ENGINES.items()
            for number in range(count)
        ]
        for place, engine in enumerate(engines):
            engine.faults.restart_s = _RESTART_S
            engine.crashed = self._refuse_connections
            engine.version = f'v{place % 2}'
            engine.faults.event_pause_s = _EVENT_PAUSE_S
        plain = [PlainStandIn(f'page-{number}') for number in range(_PLAIN)]
        self.key = 'key-1'
        self.revoked_key = ''
        self.site = Site(engines, plain, self._make_tenants())
        for listed in engines:
            listed.restarted = self._relist_engine
        self.duties = DutyStandIn(self.site)
        self._restarts: set[asyncio.Task[None]] = set()
        self.version = 1
        self.links: dict[str, Proxy] = {}
        self.link_faults: list[LinkFault] = []
        self.store_links: list[Proxy] = []
        self.cuts = InstanceCuts()
        self.instances: list[Instance] = []
        self.callers: list[Callers] = []
        self._folder = folder
        self._listed_roles: dict[str, str] = {}
        self._numbers = itertools.count(1)

    @property
    def endpoints(self) -> Sequence[EngineStandIn | PlainStandIn]:
        """All endpoints."""
        return (*self.site.engines, *self.site.plain)

    async def start(self) -> None:
        """Start all components and wait until the instances are ready."""
        await self.site.start()
        await self.duties.start()
        for endpoint in self.endpoints:
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
        await asyncio.gather(*(one.stop() for one in self.callers))
        links = (self.cuts, *self.links.values(), *self.store_links)
        for component in (*self.instances, *links, self.duties, self.site):
            await component.stop()

    async def update_entries(self) -> None:
        """Rewrite an engine's entry whenever its role has changed."""
        while True:
            for engine in self.site.engines:
                if self._listed_roles[engine.name] != engine.role:
                    self._list_endpoint(engine)
            await asyncio.sleep(_POLL_S)

    def replace_endpoint(self, endpoint: EngineStandIn | PlainStandIn) -> None:
        """Replace an endpoint by its next incarnation at the same address."""
        old_name = endpoint.name
        endpoint.notices.restart()
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
        self.site.publish(
            added=[
                make_route(f'/v{version}/', 'idempotent', 'pages')
                for version in range(2, self.version + 1)
            ],
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
        link = Proxy(self.site.store.address)
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

    def _list_endpoint(self, endpoint: EngineStandIn | PlainStandIn) -> None:
        self._listed_roles[endpoint.name] = endpoint.role
        address = self.links[endpoint.name].address
        self.site.list_endpoint(endpoint, address=address)
