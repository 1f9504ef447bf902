"""A model engine: ``python -m verbenahall_standins.engine --port 0``.

It batches continuously by the cost model, or with ``--instant`` answers at
once. It takes orders, publishes late load and cache reports, and its faults
are switched on over ``POST /faults``; ``leaving`` makes it leave by its own
word, ``ignore_fencing`` makes it obey old orders.
"""

import argparse
import asyncio
import collections
import dataclasses
from typing import Any, Final

from aiohttp import web

from verbenahall import clock
from verbenahall.fleet import Role
from verbenahall_standins import answers, cost, faults, holdings, serving
from verbenahall_standins.completions import Completions
from verbenahall_standins.prefixes import PrefixCache
from verbenahall_standins.worker import Load, Worker

_MAX_QUEUE: Final = 256
_EVENT_LAG_S: Final = 0.5
_EVENT_GAP_SHARE: Final = 0.02
_SAMPLE_S: Final = 0.05


class LaggingLoad:
    """The load as it was ``lag_s`` seconds ago."""

    __slots__ = ('_lag_s', '_samples', '_worker')

    def __init__(self, worker: Worker, lag_s: float) -> None:
        """Report on a worker; without lag, its load of this moment."""
        self._worker = worker
        self._lag_s = lag_s
        self._samples: collections.deque[tuple[float, Load]] = (
            collections.deque([(0, worker.load)])
        )

    def report(self) -> Load:
        """Return the newest load that is old enough."""
        if not self._lag_s:
            return self._worker.load
        until = clock.monotonic() - self._lag_s
        _, newest = self._samples[0]
        while self._samples and self._samples[0][0] <= until:
            _, newest = self._samples.popleft()
        self._samples.appendleft((until, newest))
        return newest

    async def sample(self) -> None:
        """Keep samples until cancelled."""
        while True:
            self._samples.append((clock.monotonic(), self._worker.load))
            self.report()
            await asyncio.sleep(_SAMPLE_S)


class Engine:
    """One engine over HTTP."""

    __slots__ = (
        '_cache',
        '_completions',
        '_faults',
        '_holdings',
        '_load',
        '_options',
        '_worker',
    )

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with the models, adapters and role of the options."""
        held = holdings.Holding(
            Role(options.role),
            dict(pair.split('=') for pair in options.model),
            tuple(_read_adapter(given) for given in options.adapter),
        )
        self._options = options
        self._faults = faults.Faults()
        self._holdings = holdings.Holdings(
            held,
            self._faults,
            options.speed,
            options.weights,
            not options.ignore_fencing,
        )
        self._worker = Worker(held.role, options.speed)
        self._cache = PrefixCache(options.event_gaps, options.seed)
        self._load = LaggingLoad(self._worker, options.load_lag)
        self._completions = Completions(
            self._worker,
            self._holdings,
            self._cache,
            options.instant,
            options.max_queue,
        )
        self._holdings.on_change = self._follow_change
        self._completions.resumes = not options.no_resume

    def add_routes(self, app: web.Application) -> None:
        """Serve the engine's routes."""
        app.add_routes(
            (
                web.post('/v1/completions', self._complete),
                web.post('/v1/chat/completions', self._complete),
                web.post('/cancel', self._cancel),
                web.get('/state', self._show_state),
                web.post('/orders', self._take_order),
                web.get('/events', self._show_events),
                web.post('/kv/export', self._export_kv),
                web.post('/kv/import', self._import_kv),
                web.get('/record', self._show_record),
            ),
        )
        faults.add_fault_routes(app, self._faults)
        app.cleanup_ctx.append(self._worker.run_lifetime)
        app.cleanup_ctx.append(self._sample_lifetime)

    def _follow_change(self) -> None:
        self._worker.batch.role = self._holdings.held.role
        self._cache.clear()

    async def _sample_lifetime(self, app: web.Application) -> Any:
        task = asyncio.create_task(self._load.sample())
        yield
        task.cancel()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self._faults.find('leaving'):
            return answers.refuse('leaving')
        return await self._completions.complete(request)

    async def _cancel(self, request: web.Request) -> web.Response:
        attempt = (await request.json())['attempt']
        cancelled = self._completions.cancel(attempt)
        return answers.answer_json({'cancelled': cancelled})

    async def _show_state(self, request: web.Request) -> web.Response:
        held = self._holdings.held
        body = {
            'name': self._options.name,
            'incarnation': self._holdings.incarnation,
            'role': held.role.value,
            'models': held.models,
            'adapters': held.adapters,
            'fencing': self._holdings.fencing,
            'order': self._holdings.order,
            'changing': self._holdings.changing,
            'leaving': self._faults.find('leaving') is not None,
            'resumes': self._completions.resumes,
            'checks_fencing': self._holdings.checks_fencing,
            **dataclasses.asdict(self._load.report()),
        }
        return answers.answer_json(body)

    async def _take_order(self, request: web.Request) -> web.Response:
        order = holdings.read_order(await request.json())
        return self._holdings.take_order(order, self._worker.is_idle)

    async def _show_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        until = clock.monotonic() - self._options.event_lag
        events = self._cache.show_events(after, until)
        return answers.answer_json({'events': events})

    async def _export_kv(self, request: web.Request) -> web.StreamResponse:
        attempt = (await request.json())['attempt']
        tokens = self._completions.kv.pop(attempt, 0)
        if not tokens:
            return web.HTTPNotFound()
        await asyncio.sleep(cost.transfer_s(tokens) / self._options.speed)
        return answers.answer_json({'attempt': attempt, 'tokens': tokens})

    async def _import_kv(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._completions.kv[body['attempt']] = int(body['tokens'])
        return answers.answer_json({})

    async def _show_record(self, request: web.Request) -> web.Response:
        record = {
            'started': self._completions.record,
            'orders': self._holdings.record,
        }
        return answers.answer_json(record)


def _read_adapter(given: str) -> dict[str, str]:
    name, model, version = given.split(':')
    return {'name': name, 'model': model, 'version': version}


def build(options: argparse.Namespace) -> web.Application:
    """Build the application."""
    app = serving.new_application()
    Engine(options).add_routes(app)
    return app


#: Options with their default and help.
_OPTIONS: Final = (
    ('--name', 'engine-1', 'name in the instance list'),
    ('--role', Role.MIXED.value, 'mixed, prefill or decode'),
    ('--speed', 1.0, 'divides all times'),
    ('--weights', '', 'address of the weight store'),
    ('--load-lag', float(0), 'age of load reports in seconds'),
    ('--event-lag', _EVENT_LAG_S, 'age of cache events in seconds'),
    ('--event-gaps', _EVENT_GAP_SHARE, 'share of cache events lost'),
    ('--max-queue', _MAX_QUEUE, 'jobs that may wait'),
    ('--seed', 1, 'seed of the lost cache events'),
)
_REPEATED: Final = (
    ('--model', 'NAME=VERSION'),
    ('--adapter', 'NAME:MODEL:VERSION'),
)
_FLAGS: Final = (
    ('--instant', 'answer at once, without the cost model'),
    ('--ignore-fencing', 'obey orders with old fencing tokens'),
    ('--no-resume', 'refuse to resume streams'),
)


def read_options(arguments: list[str] | None = None) -> argparse.Namespace:
    """Read the command line."""
    parser = serving.new_parser('Model engine stand-in')
    for name, default, described in _OPTIONS:
        kind = type(default)
        parser.add_argument(name, type=kind, default=default, help=described)
    for flag, described in _FLAGS:
        parser.add_argument(flag, action='store_true', help=described)
    for repeated, metavar in _REPEATED:
        parser.add_argument(
            repeated,
            action='append',
            default=[],
            metavar=metavar,
        )
    return parser.parse_args(arguments)


def main() -> None:
    """Run the command."""
    serving.serve(build, read_options())


if __name__ == '__main__':
    main()
