"""Stand-in for a model engine, served over HTTP.

``python -m verbenahall_standins.engine --port 0`` runs continuous batching
with the durations of the cost model; with ``--instant`` it answers without
any delay. It executes orders and reports its load and its cache events with a
delay. ``POST /faults`` injects faults: ``leaving`` makes the engine report
that it leaves and refuse completions, ``ignore_fencing`` makes it execute
orders with old fencing tokens.
"""

import argparse
import asyncio
import collections
import dataclasses
from typing import Any, Final

from aiohttp import web

from verbenahall import clock
from verbenahall.fleet import Role
from verbenahall_standins import answers, configuration, cost, faults, serving
from verbenahall_standins.completions import Completions
from verbenahall_standins.prefixes import PrefixCache
from verbenahall_standins.worker import Load, Worker

#: Jobs that may wait before completions are refused as overloaded.
_MAX_QUEUE: Final = 256
#: Seconds before a cache event becomes visible.
_EVENT_DELAY_S: Final = 0.5
#: Share of cache events that are never reported.
_LOST_EVENT_SHARE: Final = 0.02
#: Seconds between two samples of the load.
_SAMPLE_INTERVAL_S: Final = 0.05


class LaggingLoad:
    """Reports a worker's load with a delay of ``lag_s`` seconds."""

    __slots__ = ('_lag_s', '_samples', '_worker')

    def __init__(self, worker: Worker, lag_s: float) -> None:
        """Wrap a worker; with a lag of 0 its current load is reported."""
        self._worker = worker
        self._lag_s = lag_s
        self._samples: collections.deque[tuple[float, Load]] = (
            collections.deque([(0, worker.load)])
        )

    def report(self) -> Load:
        """Return the newest sample that is at least ``lag_s`` seconds old."""
        if not self._lag_s:
            return self._worker.load
        until = clock.monotonic() - self._lag_s
        _, newest = self._samples[0]
        while self._samples and self._samples[0][0] <= until:
            _, newest = self._samples.popleft()
        self._samples.appendleft((until, newest))
        return newest

    async def sample(self) -> None:
        """Sample the load periodically until cancelled."""
        while True:
            self._samples.append((clock.monotonic(), self._worker.load))
            self.report()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)


class Engine:
    """HTTP routes of one engine."""

    __slots__ = (
        '_cache',
        '_completions',
        '_configuration',
        '_faults',
        '_load',
        '_options',
        '_worker',
    )

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with the models, adapters and role given in the options."""
        active = configuration.Configuration(
            Role(options.role),
            dict(pair.split('=') for pair in options.model),
            tuple(_parse_adapter(value) for value in options.adapter),
        )
        self._options = options
        self._faults = faults.Faults()
        self._configuration = configuration.ConfigurationState(
            active,
            self._faults,
            options.speed,
            options.weights,
            not options.ignore_fencing,
        )
        self._worker = Worker(active.role, options.speed)
        self._cache = PrefixCache(options.event_gaps, options.seed)
        self._load = LaggingLoad(self._worker, options.load_lag)
        self._completions = Completions(
            self._worker,
            self._configuration,
            self._cache,
            options.instant,
            options.max_queue,
        )
        self._configuration.on_change = self._apply_change
        self._completions.resumes = not options.no_resume

    def add_routes(self, app: web.Application) -> None:
        """Register the engine's routes and its background tasks."""
        app.add_routes(
            (
                web.post('/v1/completions', self._complete),
                web.post('/v1/chat/completions', self._complete),
                web.post('/cancel', self._cancel),
                web.get('/state', self._get_state),
                web.post('/orders', self._handle_order),
                web.get('/events', self._get_events),
                web.post('/kv/export', self._export_kv),
                web.post('/kv/import', self._import_kv),
                web.get('/record', self._get_record),
            ),
        )
        faults.add_fault_routes(app, self._faults)
        app.cleanup_ctx.append(self._worker.run_in_background)
        app.cleanup_ctx.append(self._run_sampler)

    def _apply_change(self) -> None:
        self._worker.batch.role = self._configuration.active.role
        self._cache.clear()

    async def _run_sampler(self, app: web.Application) -> Any:
        task = asyncio.create_task(self._load.sample())
        yield
        task.cancel()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self._faults.find('leaving'):
            return answers.build_refusal('leaving')
        return await self._completions.complete(request)

    async def _cancel(self, request: web.Request) -> web.Response:
        attempt = (await request.json())['attempt']
        cancelled = self._completions.cancel(attempt)
        return answers.build_answer({'cancelled': cancelled})

    async def _get_state(self, request: web.Request) -> web.Response:
        active = self._configuration.active
        body = {
            'name': self._options.name,
            'incarnation': self._configuration.incarnation,
            'role': active.role.value,
            'models': active.models,
            'adapters': active.adapters,
            'fencing': self._configuration.fencing,
            'order': self._configuration.order,
            'changing': self._configuration.changing,
            'leaving': self._faults.find('leaving') is not None,
            'resumes': self._completions.resumes,
            'checks_fencing': self._configuration.checks_fencing,
            **dataclasses.asdict(self._load.report()),
        }
        return answers.build_answer(body)

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = configuration.parse_order(await request.json())
        return self._configuration.handle_order(order, self._worker.is_idle)

    async def _get_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        until = clock.monotonic() - self._options.event_lag
        events = self._cache.list_events(after, until)
        return answers.build_answer({'events': events})

    async def _export_kv(self, request: web.Request) -> web.StreamResponse:
        attempt = (await request.json())['attempt']
        tokens = self._completions.kv_tokens.pop(attempt, 0)
        if not tokens:
            return web.HTTPNotFound()
        await asyncio.sleep(cost.transfer_s(tokens) / self._options.speed)
        return answers.build_answer({'attempt': attempt, 'tokens': tokens})

    async def _import_kv(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._completions.kv_tokens[body['attempt']] = int(body['tokens'])
        return answers.build_answer({})

    async def _get_record(self, request: web.Request) -> web.Response:
        record = {
            'started': self._completions.record,
            'orders': self._configuration.record,
        }
        return answers.build_answer(record)


def _parse_adapter(value: str) -> dict[str, str]:
    name, model, version = value.split(':')
    return {'name': name, 'model': model, 'version': version}


def build(options: argparse.Namespace) -> web.Application:
    """Build the web application."""
    app = serving.new_application()
    Engine(options).add_routes(app)
    return app


#: Name, default and help text of each option; the default sets its type.
_OPTIONS: Final = (
    ('--name', 'engine-1', 'name in the instance list'),
    ('--role', Role.MIXED.value, 'mixed, prefill or decode'),
    ('--speed', 1.0, 'factor by which all durations are divided'),
    (
        '--weights',
        '',
        'address of the weight store; without one, loading takes a fixed time',
    ),
    ('--load-lag', float(0), 'delay of load reports in seconds'),
    ('--event-lag', _EVENT_DELAY_S, 'delay of cache events in seconds'),
    ('--event-gaps', _LOST_EVENT_SHARE, 'share of cache events lost'),
    ('--max-queue', _MAX_QUEUE, 'maximum number of waiting jobs'),
    ('--seed', 1, 'seed for choosing the lost cache events'),
)
_REPEATABLE: Final = (
    ('--model', 'NAME=VERSION'),
    ('--adapter', 'NAME:MODEL:VERSION'),
)
_FLAGS: Final = (
    ('--instant', 'answer immediately, without the cost model'),
    ('--ignore-fencing', 'execute orders with old fencing tokens'),
    ('--no-resume', 'refuse requests that resume a stream'),
)


def parse_options(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = serving.new_parser('Model engine stand-in')
    for name, default, help_text in _OPTIONS:
        value_type = type(default)
        parser.add_argument(
            name, type=value_type, default=default, help=help_text
        )
    for flag, help_text in _FLAGS:
        parser.add_argument(flag, action='store_true', help=help_text)
    for option, metavar in _REPEATABLE:
        parser.add_argument(
            option,
            action='append',
            default=[],
            metavar=metavar,
        )
    return parser.parse_args(arguments)


def main() -> None:
    """Run the engine until SIGTERM."""
    serving.serve(build, parse_options())


if __name__ == '__main__':
    main()
