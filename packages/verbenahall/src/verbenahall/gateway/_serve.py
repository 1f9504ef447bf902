"""Runs an entry instance: its listeners, background loops and stop."""

import asyncio
import functools
import signal
from http import HTTPStatus
from typing import Final, final

import aiomisc
from aiohttp import web

from verbenahall import journal, metrics
from verbenahall.authentication import KeyRefresher
from verbenahall.gateway._admission import RequestAdmitter
from verbenahall.gateway._call_reader import CallReader
from verbenahall.gateway._core import Core
from verbenahall.gateway._crash_queries import add_crash_route
from verbenahall.gateway._crash_reports import CrashLogReplicator
from verbenahall.gateway._crashes import CrashDetector
from verbenahall.gateway._connection_shedding import ConnectionShedder
from verbenahall.gateway._dispatch import Dispatch
from verbenahall.forwarding import OpenForwards
from verbenahall.gateway._endpoint_alerts import make_prober
from verbenahall.gateway._fleet_state_log import FleetStateLog
from verbenahall.gateway._forwarder import PeerForwarder
from verbenahall.gateway._hop_server import HopServer
from verbenahall.gateway._ingress import Ingress
from verbenahall.gateway._leaving_notices import LeavingReplicator
from verbenahall.gateway._listener import GuardedListener
from verbenahall.gateway._orders import RoleController
from verbenahall.gateway._peers import PeerFinder
from verbenahall.gateway._permits import DistributedRateLimiter
from verbenahall.gateway._reach import ReachMonitor
from verbenahall.gateway._readiness import Readiness
from verbenahall.gateway._runners import (
    MAX_BODY_BYTES,
    ConnectionShare,
    make_runner,
)
from verbenahall.gateway._scaling import make_scaler, scales_engines
from verbenahall.gateway._scheduler import SchedulingTransport
from verbenahall.gateway._stream_versions import StreamVersions
from verbenahall.gateway._topics import Topics
from verbenahall.gateway._usage import (
    make_usage_exchange,
    make_usage_reporter,
    reports_usage,
)
from verbenahall.platform import ENDPOINTS_TOPIC, READY, ProcessSettings
from verbenahall.process import listen, run_service
from verbenahall.shutdown import GracefulStop, StopTiming
from verbenahall.supervisor import Supervisor

_ANY_PATH: Final = '/{path:.*}'
#: How long new connections are accepted after the stop begins, in seconds: the
#: platform checks readiness once a second and removes an instance after two
#: failed checks.
_READINESS_NOTICE_S: Final = 3.0
#: Interval at which buffered log lines are written, in seconds.
_FLUSH_S: Final = 0.2
#: Part of the platform's grace period that is kept for the exit of the process,
#: in seconds.
_EXIT_S: Final = 0.8


@final
class Gateway:
    """An entry instance on the running event loop.

    For example, with settings that have been read::

        gateway = Gateway(settings)
        await gateway.open()
        await gateway.stop.run()
        await gateway.close()
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Build the components; nothing listens before ``open``."""
        self.core = Core(settings)
        self.stop = GracefulStop(_make_stop_timing(settings))
        self.core.stop = self.stop.state
        self.finder = PeerFinder(self.core)
        self.scheduling = SchedulingTransport(self.core, self.finder.exchange)
        self.scheduling.scheduler.stopping = self._is_stopping
        self.crash_log_replicator = CrashLogReplicator(
            self.core, self.finder.exchange
        )
        self.crash_detector = CrashDetector(
            self.core, self.crash_log_replicator
        )
        self.rate_limiter = DistributedRateLimiter(
            self.core, self.finder.exchange
        )
        self.leaving_replicator = LeavingReplicator(
            self.core, self.finder.exchange
        )
        self.prober = make_prober(self.core, self.finder.exchange)
        self.stream_versions = StreamVersions(self.core, self.finder.exchange)
        self.connection_shedder = ConnectionShedder(self.core)
        self.open_forwards = OpenForwards()
        PeerForwarder(self.core, self.open_forwards)
        self._topics = Topics(self.core, self.finder.exchange)
        followed = self._topics.followers[ENDPOINTS_TOPIC]
        self.stream_versions.list_confirmation.refresh = followed.refresh
        self._usage = make_usage_exchange(self.core, self.finder.exchange)
        self._usage.relay_append = self._topics.writer.append
        self._supervisor = Supervisor()
        self._runners: list[web.AppRunner] = []
        self._listener: GuardedListener | None = None

    async def open(self) -> None:
        """Open the listeners and start the background loops."""
        readiness = Readiness(self.core)
        ingress = self._make_ingress()
        hop_server = HopServer(
            self.core, self.stop, ingress, self.open_forwards
        )
        self._runners = [
            await _serve_readiness(self.core, readiness, self.stop),
            await self._serve_callers(readiness, ingress),
            await self._serve_peers(hop_server),
            await _serve_metrics(self.core),
        ]
        self._start_loops(readiness)
        journal.write_decision('started', instance=self.core.settings.name)

    async def close(self) -> None:
        """Stop the background loops and close every connection."""
        self._usage.send_final_counts()
        await self._supervisor.stop()
        if self._listener is not None:
            await self._listener.stop()
        closing = [runner.cleanup() for runner in self._runners]
        await asyncio.gather(*closing)
        await self.core.close()
        journal.write_decision('stopped', instance=self.core.settings.name)
        journal.flush()

    async def _serve_callers(
        self, readiness: Readiness, ingress: Ingress
    ) -> web.AppRunner:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.on_response_prepare.append(readiness.close_connection)
        app.router.add_route('*', _ANY_PATH, ingress.handle)
        self.stop.add_to(app)
        runner = make_runner(self.core, app, ConnectionShare.CALLERS)
        await runner.setup()
        self._listener = GuardedListener(
            runner.server, self.connection_shedder.accepts
        )
        self._listener.start(self.core.settings.callers)
        self.stop.hooks.close.append(self._listener.stop)
        return runner

    async def _serve_peers(self, hop_server: HopServer) -> web.AppRunner:
        """Serve peers: requests that they forward, and topics."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        self._topics.add_routes(app, hop_server.handle)
        add_crash_route(app, self.core, hop_server.handle)
        app.router.add_route('*', _ANY_PATH, hop_server.handle)
        self.stop.add_to(app)
        runner = make_runner(self.core, app, ConnectionShare.PEERS)
        site = await listen(runner, self.core.settings.peer_address)
        self.stop.hooks.close.append(site.stop)
        return runner

    def _make_ingress(self) -> Ingress:
        key_refresher = KeyRefresher(
            self._topics.refresh_manifest,
            self.core.now,
        )
        dispatch = Dispatch(self.core, self.scheduling.scheduler_client)
        admitter = RequestAdmitter(self.core, key_refresher)
        reader = CallReader(self.core, admitter)
        return Ingress(self.core, self.stop, dispatch, reader)

    def _is_stopping(self) -> bool:
        return self.stop.stopping

    def _start_loops(self, readiness: Readiness) -> None:
        role_controller = RoleController(self.core)
        exchange = self.finder.exchange
        exchange.changing = role_controller.changing
        exchange.list_unreachable = self.core.reach.list_lost
        exchange.get_connection_rate = self.connection_shedder.get_rate
        loops = {
            **self._topics.list_loops(),
            'peers': self.finder.run,
            'scheduler': self.scheduling.scheduler.run,
            'roles': role_controller.run,
            'readiness': readiness.run,
            'crashes': self.crash_detector.run,
            'crash reports': self.crash_log_replicator.run,
            'leaving notices': self.leaving_replicator.run,
            'permits': self.rate_limiter.run,
            'crowding': self.connection_shedder.run,
            'reach': ReachMonitor(self.core).run,
            'stream versions': self.stream_versions.run,
            'probes': self.prober.run,
            'beliefs': FleetStateLog(self.core).run,
            'lines': _flush_log,
        }
        if reports_usage(self.core.settings):
            loops['usage'] = make_usage_reporter(self.core, self._usage).run
        if scales_engines(self.core.settings):
            loops['scaling'] = make_scaler(self.core, exchange).run
        for name, loop in loops.items():
            self._supervisor.start(name, loop)


@final
class GatewayService(aiomisc.Service):
    """Runs the gateway as a service of aiomisc's entrypoint."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Store the settings; ``start`` builds the gateway on its own loop."""
        super().__init__()
        self._settings = settings
        self._ended = asyncio.Event()

    async def start(self) -> None:
        """Serve until the graceful stop has finished."""
        gateway = Gateway(self._settings)
        await gateway.open()
        self.start_event.set()
        _handle_hangup()
        await gateway.stop.run()
        await gateway.close()
        _ignore_hangup()
        self._ended.set()

    async def wait(self) -> None:
        """Wait until the process may exit."""
        await self._ended.wait()


def serve(settings: ProcessSettings) -> None:
    """Run an entry instance until the process is stopped."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    run_service(GatewayService(settings), settings.bounds.grace_s)


def _make_stop_timing(settings: ProcessSettings) -> StopTiming:
    return StopTiming(
        grace_s=settings.bounds.grace_s - _EXIT_S,
        notice_s=_READINESS_NOTICE_S,
        linger_s=1.0,
        hand_over_s=0.1,
    )


async def _serve_readiness(
    core: Core,
    readiness: Readiness,
    stop: GracefulStop,
) -> web.AppRunner:
    app = web.Application()
    app.router.add_get(
        READY, functools.partial(_handle_readiness, readiness, stop)
    )
    runner = make_runner(core, app, ConnectionShare.READINESS)
    await listen(runner, core.settings.readiness)
    return runner


async def _serve_metrics(core: Core) -> web.AppRunner:
    app = web.Application()
    metrics.add_routes(app)
    runner = make_runner(core, app, ConnectionShare.METRICS)
    settings = core.settings
    await listen(runner, f'{settings.ip}:{settings.metrics_port}')
    return runner


async def _handle_readiness(
    readiness: Readiness,
    stop: GracefulStop,
    request: web.Request,
) -> web.Response:
    ready = readiness.ready and not stop.stopping
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    return web.Response(status=status)


async def _flush_log() -> None:
    while True:
        journal.flush()
        await asyncio.sleep(_FLUSH_S)


def _handle_hangup() -> None:
    """Log SIGHUP instead of ending the process, which is its default.

    The handler is not one of the event loop, which would restore the default
    action when it is removed, and a signal at that moment would end the
    process.
    """
    loop = asyncio.get_running_loop()
    signal.signal(signal.SIGHUP, functools.partial(_log_hangup, loop))


def _log_hangup(loop: asyncio.AbstractEventLoop, *_: object) -> None:
    loop.call_soon_threadsafe(journal.write_decision, 'reload')


def _ignore_hangup() -> None:
    """Ignore SIGHUP while the process ends."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
