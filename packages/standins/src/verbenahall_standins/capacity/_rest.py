"""What instances cost that serve nothing: processor, memory, bytes."""

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
_FEW_INSTANCES: Final = 3
_FEW_ENGINES: Final = 4
_SETTLE_S: Final = 8.0
_WINDOW_S: Final = 10.0
_READY_S: Final = 60.0
_POLL_S: Final = 0.1
_OK: Final = 200
_PERCENT: Final = 100
_MEGA: Final = 1e6
#: User and system time in the stat file, counted after the name.
_TIMES: Final = slice(11, 13)
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


class Rig:
    """One data centre's processes, with a counting relay before each."""

    def __init__(self, folder: Path) -> None:
        """Keep settings files under ``folder``."""
        self._folder = folder
        self._started: list[process.Running] = []
        self._relays: dict[str, list[Relay]] = {}
        self.instances: list[process.Running] = []

    async def start(self, instances: int, engines: int) -> None:
        """Start everything and wait until each instance is ready."""
        log = process.start('verbenahall_standins.log')
        registry = process.start('verbenahall_standins.registry')
        self._started += [log, registry]
        platform = [
            await self._relay('platform', running.address)
            for running in (log, registry)
        ]
        children = [
            self._launch(f'entry-{number}', *platform)
            for number in range(instances)
        ]
        self.instances = [process.wait_ready(child) for child in children]
        async with aiohttp.ClientSession() as session:
            await self._register_engines(session, registry.address, engines)
            await self._register_instances(session, registry.address)
            for running in self.instances:
                await _wait_ready(session, running.address)

    def carried(self, kind: str) -> int:
        """Return the bytes that relays of a kind have carried."""
        return sum(relay.carried for relay in self._relays.get(kind, ()))

    def stop(self) -> None:
        """Stop all processes."""
        for relays in self._relays.values():
            for relay in relays:
                relay.close()
        process.stop_all(self.instances)
        process.stop_all(self._started)

    def _launch(self, name: str, log: str, registry: str):
        config = self._folder / f'{name}.toml'
        config.write_text(
            _CONFIG.format(name=name, log=log, registry=registry),
        )
        script = process.find_script('verbenahall')
        return process.launch_command(
            (script, 'serve', '--config', str(config), '--no-decisions'),
        )

    async def _relay(self, kind: str, address: str) -> str:
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
            address = await self._relay('engine', running.address)
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
            address = await self._relay('peer', running.address)
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


async def _wait_ready(session: aiohttp.ClientSession, address: str) -> None:
    limit = clock.monotonic() + _READY_S
    while clock.monotonic() < limit:
        async with session.get(f'http://{address}/readyz') as answer:
            if answer.status == _OK:
                return
        await asyncio.sleep(_POLL_S)
    raise TimeoutError(f'{address} is not ready')


def measure_rest() -> Iterator[Series]:
    """Yield the series over instances, then those over engines."""
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
    rig = Rig(folder)
    try:
        return await _start_and_watch(rig, instances, engines)
    finally:
        rig.stop()


async def _start_and_watch(
    rig: Rig,
    instances: int,
    engines: int,
) -> list[float]:
    await rig.start(instances, engines)
    await asyncio.sleep(_SETTLE_S)
    before = _read_counters(rig)
    started = clock.monotonic()
    await asyncio.sleep(_WINDOW_S)
    watched_s = (clock.monotonic() - started) * instances
    spent, *carried = (
        (after - earlier) / watched_s
        for earlier, after in zip(before, _read_counters(rig), strict=True)
    )
    memory = sum(map(_resident_bytes, rig.instances)) / instances
    return [_PERCENT * spent, memory / _MEGA, *carried]


def _read_counters(rig: Rig) -> list[float]:
    """Return processor seconds, then the bytes that each relay kind took."""
    carried = [rig.carried(kind) for kind in ('platform', 'peer', 'engine')]
    return [_processor_s(rig.instances), *carried]


def _processor_s(processes: Sequence[process.Running]) -> float:
    ticks = sum(map(_processor_ticks, processes))
    return ticks / os.sysconf('SC_CLK_TCK')


def _processor_ticks(running: process.Running) -> int:
    """Return user and system time."""
    stat = Path(f'/proc/{running.pid}/stat').read_text()
    fields = stat.rpartition(')')[-1].split()
    return sum(map(int, fields[_TIMES]))


def _resident_bytes(running: process.Running) -> int:
    pages = Path(f'/proc/{running.pid}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')
