"""Processor time, memory and traffic of idle instances."""

import asyncio
import os
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Final

import aiohttp
import uvloop

from verbenahall import clock
from verbenahall_standins import process
from verbenahall_standins.capacity._relay import Relay
from verbenahall_standins.capacity._report import Point, Series

_INSTANCES: Final = (3, 9, 30, 100)
_ENGINES: Final = (4, 12, 24)
#: Sizes that stay fixed while the other size varies.
_FEW_INSTANCES: Final = 3
_FEW_ENGINES: Final = 4
_WARM_UP_S: Final = 8.0
_WINDOW_S: Final = 10.0
_READY_TIMEOUT_S: Final = 60.0
_POLL_S: Final = 0.1
_OK: Final = 200
_PERCENT: Final = 100
_MEGA: Final = 1e6
#: User and system ticks among the fields of ``/proc/PID/stat`` that follow
#: the command name.
_CPU_TICK_FIELDS: Final = slice(11, 13)
_CONFIG: Final = """
[instance]
name = "{name}"
data_centre = "aber"
deployment = "capacity"
listen = "127.0.0.1:0"

[platform]
log = "{log}"
instance_list = "{registry}"
"""
_MEASURES: Final = (
    'control processor time (% of a core)',
    'resident memory (MB)',
    'log and list traffic (B/s per instance)',
    'peer traffic (B/s per instance)',
    'engine state traffic (B/s per instance)',
)


class IdleDeployment:
    """The processes of one data centre, each behind a counting relay."""

    def __init__(self, folder: Path) -> None:
        """Write configuration files to ``folder``."""
        self._folder = folder
        self._started: list[process.RunningProcess] = []
        self._relays: dict[str, list[Relay]] = {}
        self.instances: list[process.RunningProcess] = []

    async def start(self, instances: int, engines: int) -> None:
        """Start all processes and wait until each instance is ready."""
        log = process.start('verbenahall_standins.log')
        registry = process.start('verbenahall_standins.registry')
        self._started += [log, registry]
        platform = [
            await self._open_relay('platform', running.address)
            for running in (log, registry)
        ]
        children = [
            self._launch_instance(f'entry-{number}', *platform)
            for number in range(instances)
        ]
        self.instances = [process.wait_until_ready(child) for child in children]
        async with aiohttp.ClientSession() as session:
            await self._register_engines(session, registry.address, engines)
            await self._register_instances(session, registry.address)
            for running in self.instances:
                await _wait_until_ready(session, running.address)

    def count_bytes(self, kind: str) -> int:
        """Return the bytes forwarded by the relays of one kind."""
        return sum(relay.byte_count for relay in self._relays.get(kind, ()))

    def stop(self) -> None:
        """Stop all relays and processes."""
        for relays in self._relays.values():
            for relay in relays:
                relay.close()
        process.stop_all(self.instances)
        process.stop_all(self._started)

    def _launch_instance(self, name: str, log: str, registry: str):
        config = self._folder / f'{name}.toml'
        config.write_text(
            _CONFIG.format(name=name, log=log, registry=registry),
        )
        script = process.find_script('verbenahall')
        return process.launch_command(
            (script, 'serve', '--config', str(config), '--no-decisions'),
        )

    async def _open_relay(self, kind: str, address: str) -> str:
        relay = Relay(address)
        await relay.open()
        self._relays.setdefault(kind, []).append(relay)
        return relay.address

    async def _register_engines(
        self,
        session: aiohttp.ClientSession,
        registry: str,
        count: int,
    ) -> None:
        for number in range(count):
            name = f'engine-{number}'
            running = process.start(
                'verbenahall_standins.engine',
                '--name',
                name,
                '--model',
                'draft=1',
            )
            self._started.append(running)
            url = f'http://{running.address}/state'
            async with session.get(url) as answer:
                incarnation = (await answer.json())['incarnation']
            address = await self._open_relay('engine', running.address)
            await _register(
                session,
                registry,
                name,
                'engine',
                address,
                incarnation,
            )

    async def _register_instances(
        self,
        session: aiohttp.ClientSession,
        registry: str,
    ) -> None:
        for number, running in enumerate(self.instances):
            address = await self._open_relay('peer', running.address)
            await _register(
                session,
                registry,
                f'entry-{number}',
                'instance',
                address,
                '',
            )


async def _register(
    session: aiohttp.ClientSession,
    registry: str,
    name: str,
    kind: str,
    address: str,
    incarnation: str,
) -> None:
    entry = {
        'name': name,
        'kind': kind,
        'address': address,
        'data_centre': 'aber',
        'incarnation': incarnation,
    }
    url = f'http://{registry}/register'
    async with session.post(url, json=entry) as answer:
        answer.raise_for_status()


async def _wait_until_ready(
    session: aiohttp.ClientSession, address: str
) -> None:
    deadline = clock.monotonic() + _READY_TIMEOUT_S
    while clock.monotonic() < deadline:
        async with session.get(f'http://{address}/readyz') as answer:
            if answer.status == _OK:
                return
        await asyncio.sleep(_POLL_S)
    raise TimeoutError(f'{address} is not ready')


def measure_idle() -> Iterator[Series]:
    """Yield the series by number of instances, then by number of engines."""
    by_instances = [_measure(size, _FEW_ENGINES) for size in _INSTANCES]
    yield from _build_series(_INSTANCES, by_instances, 'instances')
    by_engines = [_measure(_FEW_INSTANCES, size) for size in _ENGINES]
    yield from _build_series(_ENGINES, by_engines, 'engines')


def _build_series(
    sizes: Sequence[int],
    measured: Sequence[Sequence[float]],
    per: str,
) -> Iterator[Series]:
    for column, measure in enumerate(_MEASURES):
        points = [
            Point(size, row[column])
            for size, row in zip(sizes, measured, strict=True)
        ]
        yield Series(measure, per, points)


def _measure(instances: int, engines: int) -> Sequence[float]:
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(_run(Path(folder), instances, engines))


async def _run(folder: Path, instances: int, engines: int) -> list[float]:
    deployment = IdleDeployment(folder)
    try:
        return await _start_and_measure(deployment, instances, engines)
    finally:
        deployment.stop()


async def _start_and_measure(
    deployment: IdleDeployment,
    instances: int,
    engines: int,
) -> list[float]:
    await deployment.start(instances, engines)
    await asyncio.sleep(_WARM_UP_S)
    before = _read_counters(deployment)
    started = clock.monotonic()
    await asyncio.sleep(_WINDOW_S)
    instance_s = (clock.monotonic() - started) * instances
    cpu_s, *traffic = (
        (after - earlier) / instance_s
        for earlier, after in zip(
            before, _read_counters(deployment), strict=True
        )
    )
    memory = sum(map(_read_resident_bytes, deployment.instances)) / instances
    return [_PERCENT * cpu_s, memory / _MEGA, *traffic]


def _read_counters(deployment: IdleDeployment) -> list[float]:
    """Return processor seconds, then the bytes of each kind of relay."""
    byte_counts = [
        deployment.count_bytes(kind) for kind in ('platform', 'peer', 'engine')
    ]
    return [_read_cpu_s(deployment.instances), *byte_counts]


def _read_cpu_s(processes: Sequence[process.RunningProcess]) -> float:
    ticks = sum(map(_read_cpu_ticks, processes))
    return ticks / os.sysconf('SC_CLK_TCK')


def _read_cpu_ticks(running: process.RunningProcess) -> int:
    """Return user and system time in clock ticks."""
    stat = Path(f'/proc/{running.pid}/stat').read_text()
    fields = stat.rpartition(')')[-1].split()
    return sum(map(int, fields[_CPU_TICK_FIELDS]))


def _read_resident_bytes(running: process.RunningProcess) -> int:
    pages = Path(f'/proc/{running.pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')
