"""Overhead of an instance compared with direct requests to the engine."""

import asyncio
import contextlib
import os
import statistics
import subprocess
import sys
from collections.abc import Iterator, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import aiohttp
import orjson

from verbenahall_standins import process
from verbenahall_standins.deployment import fetch_incarnation
from verbenahall_standins.description import set_values
from verbenahall_standins.lines import Line
from verbenahall_standins.publishing import publish

_EXAMPLE: Final = Path('examples/desk/instance.toml')
_FOLDER: Final = Path('run/bench')
_SETTINGS: Final = Path('examples/desk/settings/fleet.toml')
_ENGINE: Final = 'aberystwyth-engine-1'
_MODEL: Final = 'drafter'
_ROUNDS: Final = 3
_SINGLE_CONNECTION: Final = '1'
_MANY_CONNECTIONS: Final = '16'
_STREAM_CONNECTIONS: Final = '8'
_CHUNKS_PER_STREAM: Final = '200'
_READY_TIMEOUT_S: Final = 20
_POLL_S: Final = 0.1
#: Indices of utime and stime among the fields of ``/proc/PID/stat`` that
#: follow the command name.
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12
_LOAD: Final = (
    sys.executable,
    '-m',
    'verbenahall_standins.load',
    f'--model={_MODEL}',
    '--seconds=2',
)
_ENGINE_OPTIONS: Final = (
    '--instant',
    f'--name={_ENGINE}',
    f'--model={_MODEL}=1',
    '--speed=20',
)

LoadFigures = dict[str, Any]


class Testbed:
    """An engine that answers immediately, and an instance in front of it."""

    __slots__ = ('_engine', '_instance')

    def __init__(
        self,
        engine: process.RunningProcess,
        instance: process.RunningProcess,
    ) -> None:
        """Use a running engine and instance."""
        self._engine = engine
        self._instance = instance

    def measure(self) -> list[Line]:
        """Measure short requests and streams, with and without the instance."""
        alone = self._measure_both('--connections', _SINGLE_CONNECTION)
        many = self._measure_both('--connections', _MANY_CONNECTIONS)
        streams = self._measure_both(
            '--connections',
            _STREAM_CONNECTIONS,
            '--chunks',
            _CHUNKS_PER_STREAM,
        )
        return [
            _build_added_line(alone),
            _build_line('short request p50', 'p50_ms', 'ms', alone),
            _build_line('short request p99', 'p99_ms', 'ms', alone),
            _build_line('short requests', 'answers_s', '1/s', many),
            _build_line('short requests by core', 'answers_core', '1/s', many),
            _build_line('chunks', 'chunks_s', '1/s', streams),
            _build_line('chunks by core', 'chunks_core', '1/s', streams),
        ]

    def _measure_both(self, *options: str) -> tuple[LoadFigures, LoadFigures]:
        """Return the medians of alternating runs: proxied, then direct."""
        proxied = []
        direct = []
        for _ in range(_ROUNDS):
            direct.append(_run_load_tool(self._engine, options))
            proxied.append(_run_load_tool(self._instance, options))
        return _take_medians(proxied), _take_medians(direct)


def _build_added_line(medians: tuple[LoadFigures, LoadFigures]) -> Line:
    proxied, direct = medians
    added = proxied['p50_ms'] - direct['p50_ms']
    return Line('added to a short request p50', added, 'ms', direct['p50_ms'])


def _build_line(
    measure: str,
    key: str,
    unit: str,
    medians: tuple[LoadFigures, LoadFigures],
) -> Line:
    proxied, direct = medians
    return Line(measure, proxied[key], unit, direct[key])


def _take_medians(runs: Sequence[LoadFigures]) -> LoadFigures:
    return {key: _take_median(key, runs) for key in runs[0]}


def _take_median(key: str, runs: Sequence[LoadFigures]) -> float:
    return statistics.median(run[key] for run in runs)


def _run_load_tool(
    target: process.RunningProcess, options: Sequence[str]
) -> LoadFigures:
    """Run the load tool; add rates per second and per core-second."""
    before = read_cpu_s(target.pid)
    command = (*_LOAD, '--address', target.address, *options)
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True
    )
    core_s = read_cpu_s(target.pid) - before
    return _add_rates(orjson.loads(completed.stdout), core_s)


def _add_rates(figures: LoadFigures, core_s: float) -> LoadFigures:
    rates = {}
    for key in ('answers', 'chunks'):
        rates[f'{key}_s'] = figures[key] / figures['seconds']
        rates[f'{key}_core'] = figures[key] / core_s
    return figures | rates


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds used by a process."""
    line = Path(f'/proc/{pid}/stat').read_text()
    fields = line.rpartition(')')[-1].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


@contextlib.contextmanager
def start_testbed() -> Iterator[Testbed]:
    """Run the processes while the context is open."""
    _FOLDER.mkdir(parents=True, exist_ok=True)
    with contextlib.ExitStack() as stack:
        log = _start(stack, 'log')
        registry = _start(stack, 'registry')
        engine = _start(stack, 'engine', *_ENGINE_OPTIONS)
        instance = process.wait_until_ready(_launch_instance(log, registry))
        stack.callback(instance.stop)
        publish(_SETTINGS, 'fleet', log.address)
        asyncio.run(_register_engine(registry, engine, instance))
        yield Testbed(engine, instance)


def _start(
    stack: contextlib.ExitStack,
    name: str,
    *options: str,
) -> process.RunningProcess:
    running = process.start(f'verbenahall_standins.{name}', *options)
    stack.callback(running.stop)
    return running


def _launch_instance(
    log: process.RunningProcess,
    registry: process.RunningProcess,
) -> 'subprocess.Popen[str]':
    config = _FOLDER / 'instance.toml'
    values = {
        'listen': '127.0.0.1:0',
        'log': log.address,
        'instance_list': registry.address,
    }
    config.write_text(set_values(_EXAMPLE.read_text(), values))
    script = process.find_script('verbenahall')
    return process.launch_command(
        (script, 'serve', '--config', str(config)),
        _FOLDER / 'instance.log',
    )


async def _register_engine(
    registry: process.RunningProcess,
    engine: process.RunningProcess,
    instance: process.RunningProcess,
) -> None:
    """Register the engine and wait until the instance routes to it."""
    body = {'model': _MODEL, 'prompt': 'ready?', 'max_tokens': 1}
    async with (
        aiohttp.ClientSession() as session,
        asyncio.timeout(_READY_TIMEOUT_S),
    ):
        entry = await _describe_engine(session, engine)
        await session.post(f'http://{registry.address}/register', json=entry)
        url = f'http://{instance.address}/v1/completions'
        while (await session.post(url, json=body)).status != HTTPStatus.OK:
            await asyncio.sleep(_POLL_S)


async def _describe_engine(
    session: aiohttp.ClientSession,
    engine: process.RunningProcess,
) -> dict[str, str]:
    return {
        'name': _ENGINE,
        'kind': 'engine',
        'address': engine.address,
        'data_centre': 'aberystwyth',
        'incarnation': await fetch_incarnation(session, engine.address),
    }


def measure_overhead() -> list[Line]:
    """Start the processes and return the measures."""
    with start_testbed() as testbed:
        return testbed.measure()
