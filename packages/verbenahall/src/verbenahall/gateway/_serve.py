"""Runs the entry instance on the platform: listeners, followers, stop."""

import asyncio
import functools
import signal
from http import HTTPStatus
from typing import Final, final

import aiomisc
from aiohttp import web

from verbenahall import journal, metrics
from verbenahall.authentication import KeyLookups
from verbenahall.config import LimitsConfig
from verbenahall.front import Patience, Runner
from verbenahall.gateway._admission import Admissions
from verbenahall.gateway._beliefs import Beliefs
from verbenahall.gateway._core import Core
from verbenahall.gateway._crash_reports import CrashReports
from verbenahall.gateway._crashes import CrashWatch
from verbenahall.gateway._dispatch import Dispatch
from verbenahall.gateway._following import follow_store
from verbenahall.gateway._ingress import Ingress
from verbenahall.gateway._orders import RoleKeeper
from verbenahall.gateway._peers import PeerFinder
from verbenahall.gateway._permits import Permits
from verbenahall.gateway._probes import Probes
from verbenahall.gateway._readiness import Readiness
from verbenahall.gateway._refresh import Refresher
from verbenahall.gateway._scheduler import Scheduling
from verbenahall.gateway._scaling import make_scaler, scales_engines
from verbenahall.gateway._usage import (
    make_usage_exchange,
    make_usage_reporter,
    reports_usage,
)
from verbenahall.platform import OPERATOR_TOPIC, READY, ProcessSettings
from verbenahall.process import listen, run_service
from verbenahall.shutdown import GracefulStop, StopTiming
from verbenahall.supervisor import Supervisor

#: Bytes of one line or header that the HTTP library takes; the manifest's
#: own bound on all of them is lower and changes while connections are open.
_LINE_BYTES: Final = 65_536
_BODY_BYTES: Final = 67_108_864
_CONNECTIONS: Final = 3000
#: Connections that bring no request are closed after this time, in seconds:
#: the idle time of callers' and balancers' connections elsewhere.
_FIRST_REQUEST_S: Final = 60.0
#: The platform asks for readiness once a second and takes an instance out
#: after two misses; new connections may arrive until then.
_NOTICE_S: Final = 3.0
#: How long log lines are collected before they are written, in seconds.
_FLUSH_S: Final = 0.2
#: Time for the process to exit within the platform's grace, in seconds.
_EXIT_S: Final = 0.8


@final
class Gateway:
    """One entry instance on a running loop.

    An example, for settings that were read::

        gateway = Gateway(settings)
        await gateway.open()
        await gateway.stop.run()
        await gateway.close()
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Build the parts; nothing listens before ``open``."""
        self.core = Core(settings)
        self.stop = GracefulStop(_time_stop(settings))
        self.finder = PeerFinder(self.core)
        self.scheduling = Scheduling(self.core, self.finder.exchange)
        self.scheduling.scheduler.stopping = self._is_stopping
        self.reports = CrashReports(self.core, self.finder.exchange)
        self.crashes = CrashWatch(self.core, self.reports)
        self.permits = Permits(self.core, self.finder.exchange)
        followers = follow_store(self.core, self.finder.exchange)
        self._followers = {one.subject.topic: one for one in followers}
        self._usage = make_usage_exchange(self.core, self.finder.exchange)
        self._supervisor = Supervisor()
        self._runners: list[web.AppRunner] = []

    async def open(self) -> None:
        """Listen and start the loops."""
        readiness = Readiness(self.core)
        self._runners = [
            await _serve_readiness(self.core, readiness, self.stop),
            await _serve_callers(
                self.core,
                readiness,
                self.stop,
                self._make_ingress(),
            ),
            await _serve_metrics(self.core.settings),
        ]
        self._start_loops(readiness)
        journal.write_decision('started', instance=self.core.settings.name)

    async def close(self) -> None:
        """Stop the loops and close every connection."""
        self._usage.tell_last()
        await self._supervisor.stop()
        closing = [runner.cleanup() for runner in self._runners]
        await asyncio.gather(*closing)
        await self.core.close()
        journal.write_decision('stopped', instance=self.core.settings.name)
        journal.flush()

    def _make_ingress(self) -> Ingress:
        lookups = KeyLookups(
            self._followers[OPERATOR_TOPIC].refresh,
            self.core.now,
        )
        dispatch = Dispatch(self.core, self.scheduling.assignments)
        admissions = Admissions(self.core, lookups)
        return Ingress(self.core, self.stop, dispatch, admissions)

    def _is_stopping(self) -> bool:
        return self.stop.stopping

    def _start_loops(self, readiness: Readiness) -> None:
        keeper = RoleKeeper(self.core)
        exchange = self.finder.exchange
        by_topic = self._followers
        exchange.changing = keeper.changing
        loops = {
            **{topic: one.run for topic, one in by_topic.items()},
            **{
                f'refresh {topic}': Refresher(self.core, one).run
                for topic, one in by_topic.items()
            },
            'peers': self.finder.run,
            'scheduler': self.scheduling.scheduler.run,
            'roles': keeper.run,
            'readiness': readiness.run,
            'crashes': self.crashes.run,
            'crash reports': self.reports.run,
            'permits': self.permits.run,
            'probes': Probes(self.core).run,
            'beliefs': Beliefs(self.core).run,
            'lines': _flush_lines,
        }
        if reports_usage(self.core.settings):
            loops['usage'] = make_usage_reporter(self.core, self._usage).run
        if scales_engines(self.core.settings):
            loops['scaling'] = make_scaler(self.core).run
        for name, loop in loops.items():
            self._supervisor.start(name, loop)


@final
class GatewayService(aiomisc.Service):
    """The gateway as a service of aiomisc's entrypoint."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Prepare; parts are built on the loop that runs them."""
        super().__init__()
        self._settings = settings
        self._ended = asyncio.Event()

    async def start(self) -> None:
        """Serve until the graceful stop has gone through."""
        gateway = Gateway(self._settings)
        await gateway.open()
        self.start_event.set()
        _note_hangup()
        await gateway.stop.run()
        await gateway.close()
        self._ended.set()

    async def wait(self) -> None:
        """Wait until the process may exit."""
        await self._ended.wait()


def serve(settings: ProcessSettings) -> None:
    """Run the instance until it is stopped."""
    run_service(GatewayService(settings), settings.bounds.grace_s)


def _time_stop(settings: ProcessSettings) -> StopTiming:
    return StopTiming(
        grace_s=settings.bounds.grace_s - _EXIT_S,
        notice_s=_NOTICE_S,
        linger_s=1.0,
        hand_over_s=0.1,
    )


async def _serve_callers(
    core: Core,
    readiness: Readiness,
    stop: GracefulStop,
    ingress: Ingress,
) -> web.AppRunner:
    app = web.Application(client_max_size=_BODY_BYTES)
    stop.add_to(app)
    app.on_response_prepare.append(readiness.close_connection)
    app.router.add_route('*', '/{path:.*}', ingress.handle)
    limits = LimitsConfig(
        body_bytes=_BODY_BYTES,
        header_bytes=_LINE_BYTES,
        json_depth=0,
        connections=_CONNECTIONS,
        body_timeout_s=_FIRST_REQUEST_S,
        queue_per_priority=0,
        queue_per_workspace=0,
        in_flight_per_engine=0,
        default_deadline_s=0,
    )
    runner = Runner(app, limits, functools.partial(_read_patience, core))
    site = await listen(runner, core.settings.callers)
    stop.hooks.close.append(site.stop)
    return runner


def _read_patience(core: Core) -> Patience:
    """Return the bounds of the manifest in force."""
    catalog = core.catalog.catalog
    if catalog is None:
        return Patience(_FIRST_REQUEST_S, _FIRST_REQUEST_S, _FIRST_REQUEST_S)
    limits = catalog.limits
    return Patience(
        first_request_s=max(_FIRST_REQUEST_S, limits.idle_timeout_s),
        head_s=limits.header_timeout_s,
        idle_s=limits.idle_timeout_s,
    )


async def _serve_readiness(
    core: Core,
    readiness: Readiness,
    stop: GracefulStop,
) -> web.AppRunner:
    app = web.Application()
    app.router.add_get(READY, functools.partial(_tell_ready, readiness, stop))
    runner = web.AppRunner(app, access_log=None)
    await listen(runner, core.settings.readiness)
    return runner


async def _serve_metrics(settings: ProcessSettings) -> web.AppRunner:
    app = web.Application()
    metrics.add_routes(app)
    runner = web.AppRunner(app, access_log=None)
    await listen(runner, f'{settings.ip}:{settings.metrics_port}')
    return runner


async def _tell_ready(
    readiness: Readiness,
    stop: GracefulStop,
    request: web.Request,
) -> web.Response:
    ready = readiness.ready and not stop.stopping
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    return web.Response(status=status)


async def _flush_lines() -> None:
    while True:
        journal.flush()
        await asyncio.sleep(_FLUSH_S)


def _note_hangup() -> None:
    """Go on at SIGHUP, whose default would end the process."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(
        signal.SIGHUP,
        journal.write_decision,
        'reload',
    )
