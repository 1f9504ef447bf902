"""What one instance adds, against going straight to the engine."""

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
from verbenahall_standins.description import rewrite
from verbenahall_standins.lines import Line
from verbenahall_standins.publishing import publish

_EXAMPLE: Final = Path('examples/desk/instance.toml')
_FOLDER: Final = Path('run/bench')
_SETTINGS: Final = Path('examples/desk/settings/fleet.toml')
_ENGINE: Final = 'aberystwyth-engine-1'
_MODEL: Final = 'drafter'
_ROUNDS: Final = 3
_ONE: Final = '1'
_MANY: Final = '16'
_STREAMS: Final = '8'
_CHUNKS: Final = '200'
_READY_S: Final = 20
_POLL_S: Final = 0.1
#: Positions of utime and stime after the command's closing bracket.
_USER_TICKS: Final = 11
_SYSTEM_TICKS: Final = 12
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

Measured = dict[str, Any]


class Bench:
    """One engine that answers at once, and one instance before it."""

    __slots__ = ('_engine', '_instance')

    def __init__(
        self,
        engine: process.Running,
        instance: process.Running,
    ) -> None:
        """Measure these two."""
        self._engine = engine
        self._instance = instance

    def measure(self) -> list[Line]:
        """Measure short requests and streams, both ways in turn."""
        alone = self._alternate('--connections', _ONE)
        many = self._alternate('--connections', _MANY)
        streams = self._alternate(
            '--connections',
            _STREAMS,
            '--chunks',
            _CHUNKS,
        )
        return [
            _measure_added(alone),
            _compare('short request p50', 'p50_ms', 'ms', alone),
            _compare('short request p99', 'p99_ms', 'ms', alone),
            _compare('short requests', 'answers_s', '1/s', many),
            _compare('short requests by core', 'answers_core', '1/s', many),
            _compare('chunks', 'chunks_s', '1/s', streams),
            _compare('chunks by core', 'chunks_core', '1/s', streams),
        ]

    def _alternate(self, *options: str) -> tuple[Measured, Measured]:
        """Return medians through the instance and straight to the engine."""
        through = []
        straight = []
        for _ in range(_ROUNDS):
            straight.append(_run_load(self._engine, options))
            through.append(_run_load(self._instance, options))
        return _take_medians(through), _take_medians(straight)


def _measure_added(found: tuple[Measured, Measured]) -> Line:
    through, straight = found
    added = through['p50_ms'] - straight['p50_ms']
    return Line('added to a short request p50', added, 'ms', straight['p50_ms'])


def _compare(
    measure: str,
    key: str,
    unit: str,
    found: tuple[Measured, Measured],
) -> Line:
    through, straight = found
    return Line(measure, through[key], unit, straight[key])


def _take_medians(runs: Sequence[Measured]) -> Measured:
    return {key: _take_median(key, runs) for key in runs[0]}


def _take_median(key: str, runs: Sequence[Measured]) -> float:
    return statistics.median(run[key] for run in runs)


def _run_load(target: process.Running, options: Sequence[str]) -> Measured:
    """Run the load tool; add rates a second and a core-second."""
    before = read_cpu_s(target.pid)
    command = (*_LOAD, '--address', target.address, *options)
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    core_s = read_cpu_s(target.pid) - before
    return _add_rates(orjson.loads(done.stdout), core_s)


def _add_rates(measured: Measured, core_s: float) -> Measured:
    rates = {}
    for key in ('answers', 'chunks'):
        rates[f'{key}_s'] = measured[key] / measured['seconds']
        rates[f'{key}_core'] = measured[key] / core_s
    return measured | rates


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    line = Path(f'/proc/{pid}/stat').read_text()
    fields = line.rpartition(')')[-1].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / os.sysconf('SC_CLK_TCK')


@contextlib.contextmanager
def start_bench() -> Iterator[Bench]:
    """Start the processes, and stop them at the end."""
    _FOLDER.mkdir(parents=True, exist_ok=True)
    with contextlib.ExitStack() as stack:
        log = _start(stack, 'log')
        registry = _start(stack, 'registry')
        engine = _start(stack, 'engine', *_ENGINE_OPTIONS)
        instance = process.wait_ready(_launch_instance(log, registry))
        stack.callback(instance.stop)
        publish(_SETTINGS, 'fleet', log.address)
        asyncio.run(_prepare(registry, engine, instance))
        yield Bench(engine, instance)


def _start(
    stack: contextlib.ExitStack,
    name: str,
    *options: str,
) -> process.Running:
    running = process.start(f'verbenahall_standins.{name}', *options)
    stack.callback(running.stop)
    return running


def _launch_instance(
    log: process.Running,
    registry: process.Running,
) -> 'subprocess.Popen[str]':
    config = _FOLDER / 'instance.toml'
    values = {
        'listen': '127.0.0.1:0',
        'log': log.address,
        'instance_list': registry.address,
    }
    config.write_text(rewrite(_EXAMPLE.read_text(), values))
    script = process.find_script('verbenahall')
    return process.launch_command(
        (script, 'serve', '--config', str(config)),
        _FOLDER / 'instance.log',
    )


async def _prepare(
    registry: process.Running,
    engine: process.Running,
    instance: process.Running,
) -> None:
    """Register the engine and wait until the instance routes to it."""
    body = {'model': _MODEL, 'prompt': 'ready?', 'max_tokens': 1}
    async with aiohttp.ClientSession() as session, asyncio.timeout(_READY_S):
        entry = await _describe_engine(session, engine)
        await session.post(f'http://{registry.address}/register', json=entry)
        url = f'http://{instance.address}/v1/completions'
        while (await session.post(url, json=body)).status != HTTPStatus.OK:
            await asyncio.sleep(_POLL_S)


async def _describe_engine(
    session: aiohttp.ClientSession,
    engine: process.Running,
) -> dict[str, str]:
    return {
        'name': _ENGINE,
        'kind': 'engine',
        'address': engine.address,
        'data_centre': 'aberystwyth',
        'incarnation': await fetch_incarnation(session, engine.address),
    }


def measure_overhead() -> list[Line]:
    """Start what is needed and measure."""
    with start_bench() as bench:
        return bench.measure()
