"""A small deployment: a store, engines, plain endpoints and a manifest."""

import contextlib
import itertools
import json
import os
import random
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, final

from verbenahall_standins.platform._engine import EngineStandIn
from verbenahall_standins.platform._plain import PlainStandIn
from verbenahall_standins.platform._store import StoreStandIn

HOST: Final = 'desk.example'
_TOPIC: Final = 'keyed.servers'
#: Range of the ports, below the kernel's ephemeral ports (from 32768 on).
_FIRST_PORT: Final = 20_000
_LAST_PORT: Final = 32_000


@final
class Site:
    """Stand-ins with their entries in the store, and a manifest."""

    def __init__(
        self,
        engines: Sequence[EngineStandIn] = (),
        plain: Sequence[PlainStandIn] = (),
        manifest: dict[str, Any] | None = None,
    ) -> None:
        """Prepare; nothing listens before ``start``.

        ``manifest`` holds fields that are added to every version.
        """
        self.manifest = manifest or {}
        self.version = 0
        self.store = StoreStandIn()
        self.engines = list(engines)
        for engine in self.engines:
            engine.restarted = self._replace_entry
        self.plain = list(plain)
        self._changes = itertools.count(1)

    async def start(self) -> None:
        """Start and list the stand-ins, and publish the manifest."""
        await self.store.start()
        for endpoint in (*self.engines, *self.plain):
            await endpoint.start()
            self.list_endpoint(endpoint)
        self.publish()

    async def stop(self) -> None:
        """Stop the stand-ins."""
        for endpoint in (*self.engines, *self.plain, self.store):
            await endpoint.stop()

    def list_endpoint(self, endpoint: Any, **changes: Any) -> None:
        """Write an endpoint's entry, with fields changed or added."""
        entry = {
            'service': 'drafter' if endpoint.role else 'pages',
            'address': endpoint.address,
            'zone': 'lampeter',
            'version': getattr(endpoint, 'version', 'v1'),
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'born': 1000,
            'seq': next(self._changes),
        }
        if endpoint.role:
            entry['stage'] = endpoint.role
        record = json.dumps({**entry, **changes}).encode()
        self.store.put(_TOPIC, endpoint.name, record)

    def unlist(self, name: str) -> None:
        """Remove an endpoint's entry."""
        self.store.put(_TOPIC, name, b'')

    def publish(
        self,
        added: Sequence[dict[str, Any]] = (),
        **changes: Any,
    ) -> None:
        """Publish the next version of the manifest, with additional routes."""
        self.version += 1
        manifest = {
            **make_manifest(self.version),
            **self.manifest,
            **changes,
        }
        manifest['routes'] = [*manifest['routes'], *added]
        record = json.dumps(manifest).encode()
        self.store.put('keyed.op', 'config', record)

    def list_services(self, **scaled: Any) -> list[dict[str, Any]]:
        """Return the services, with the scaling bounds given by name."""
        return [
            {**row, 'autoscale': scaled[row['name']]}
            if row['name'] in scaled
            else row
            for row in make_manifest(0)['services']
        ]

    def _replace_entry(self, engine: EngineStandIn, old_name: str) -> None:
        """Replace the entry of an engine that restarted under a new name."""
        self.unlist(old_name)
        self.list_endpoint(engine)


def make_manifest(version: int) -> dict[str, Any]:
    """Return a manifest with a route of each kind."""
    return {
        'version': version,
        'routes': [
            make_route('/summary/', 'stream', 'drafter', resumable=True),
            make_route('/blurb/', 'stream', 'drafter', maxAttempts=1),
            make_route('/proof/', 'non_idempotent', 'pages', maxAttempts=1),
            make_route('/archive/', 'idempotent', 'pages'),
        ],
        'services': [
            {
                'name': 'drafter',
                'healthPath': '/health',
                'maxConns': 300,
                'engine': {
                    'slots': 8,
                    'kvCapacity': 400_000,
                    'kvTokenBytes': 131_072,
                    'linkMbps': 1_600_000,
                    'stride': 10,
                    'handleTtlS': 5,
                    'stageSwitchS': 3,
                },
            },
            {'name': 'pages', 'healthPath': '/health', 'maxConns': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
    }


def make_route(
    prefix: str,
    kind: str,
    service: str,
    **changes: Any,
) -> dict[str, Any]:
    """Return a route of a manifest with default bounds."""
    row = {
        'name': prefix.strip('/'),
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 3000,
        'sloMs': 500,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'resumable': False,
        'gapAimMs': 250,
    }
    return {**row, **changes}


def write_settings(
    folder: Path,
    store: str,
    name: str = 'front-1',
    duty_api: str = '',
) -> Path:
    """Write a process's settings on loopback; return the file.

    With ``duty_api`` the process has duties; usage windows last a second.
    """
    path = folder / f'{name}.toml'
    callers, ready, control = (_find_port() for _ in range(3))
    peers, metrics = _find_port(), _find_port()
    path.write_text(
        f"""
nodeName = "{name}"
ip = "127.0.0.1"
zone = "lampeter"
portRange = [{peers}, {peers}]
metricsPort = {metrics}
seeds = []
[zones]
lampeter = "ceredigion"
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.5
cores = 2
memoryMb = 300
[bounds]
drainMs = 2000
graceS = 8
leaseMs = 3000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 56
retryAfterS = 7.2
requireFence = true
usageWindowS = 1
usageLateS = 4
[platform]
address = "{store}"
[cloudApi]
address = "{duty_api}"
duties = ["usage", "scale"]
""",
    )
    return path


#: Parts of the range, one for each test worker or process. An instance that is
#: started again binds its ports once more, and another worker's probe would
#: find them free in between.
_PARTS: Final = 12


def _choose_ports() -> range:
    """Return the part of the range that this process draws ports from."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', '').removeprefix('gw')
    number = int(worker) if worker.isdecimal() else os.getpid()
    size = (_LAST_PORT - _FIRST_PORT) // _PARTS
    first = _FIRST_PORT + number % _PARTS * size
    return range(first, first + size)


#: Ports in a random order, so that processes of one part rarely collide.
_ports: Final = itertools.cycle(
    random.SystemRandom().sample(_choose_ports(), len(_choose_ports())),
)


def _find_port() -> int:
    """Return a free port below the kernel's ephemeral range.

    A port of the ephemeral range may be assigned to another test process
    before the gateway binds it. A port is returned again only after all
    others: before the first gateway listens, a probe finds its port free.
    """
    return next(port for port in _ports if _is_free(port))


def _is_free(port: int) -> bool:
    """Whether no socket is bound to a port, by TCP or by UDP."""
    with socket.socket() as probe:
        if not probe.connect_ex(('127.0.0.1', port)):
            return False
    return all(
        _can_bind(port, kind)
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    )


def _can_bind(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as bound_socket, contextlib.suppress(OSError):
        bound_socket.bind(('127.0.0.1', port))
        return True
    return False
