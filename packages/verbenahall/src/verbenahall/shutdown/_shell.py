"""Shell of the graceful stop: signals, open requests and effects."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, final

from absl import logging
from aiohttp import web

from verbenahall import clock, journal
from verbenahall.front import close_after_response
from verbenahall.shutdown._decisions import decide
from verbenahall.shutdown._messages import (
    DEFAULT_TIMING,
    Effect,
    HandedOver,
    Message,
    Phase,
    StopRequested,
    StopTiming,
    Tick,
)
from verbenahall.shutdown._open_requests import OpenRequests
from verbenahall.shutdown._signals import wait_requested
from verbenahall.shutdown._state import ShutdownState

_CHECK_INTERVAL_S: Final = 0.05
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

Hook = Callable[[], Awaitable[None]]


@final
class StopHooks:
    """Lists of hooks for the phases; the hooks of a list run concurrently.

    ``announce`` hooks notify peers when the stop begins, ``close`` hooks close
    the listeners, and ``hand_over`` hooks release leases after the last
    request.
    """

    __slots__ = ('announce', 'close', 'hand_over')

    def __init__(self) -> None:
        """Start without hooks."""
        self.announce: list[Hook] = []
        self.close: list[Hook] = []
        self.hand_over: list[Hook] = []


@final
class GracefulStop:
    """Stops an instance without cutting off open requests.

    The instance adds it to its application, appends its hooks, and awaits
    ``run()``, which returns when the process may exit::

        stop = GracefulStop(StopTiming(grace_s=30))
        stop.add_to(app)
        stop.hooks.close.append(site.stop)
        stop.hooks.hand_over.append(lease_manager.release)
        await stop.run()
        await runner.cleanup()
    """

    def __init__(
        self,
        timing: StopTiming = DEFAULT_TIMING,
        now: clock.Clock = clock.monotonic,
    ) -> None:
        """Start in the serving phase."""
        self.state = ShutdownState(timing)
        self.hooks = StopHooks()
        self._requests = OpenRequests()
        self._clock = now
        self._requested = asyncio.Event()
        self._hand_over_task: asyncio.Task[None] | None = None

    @property
    def stopping(self) -> bool:
        """Whether the stop was requested; the instance is then not ready."""
        return self.state.stopping

    @property
    def finishing(self) -> bool:
        """Whether new requests must be rejected."""
        return self.state.finishing

    def add_to(self, app: web.Application) -> None:
        """Count the application's requests and close its connections."""
        app.middlewares.append(self._requests.count)
        app.on_response_prepare.append(self._close_connection)

    def request_stop(self) -> None:
        """Request the stop; further calls have no effect."""
        logging.info('stop requested in phase %s', self.state.phase.value)
        self._requested.set()

    async def run(self) -> None:
        """Wait for a stop request, then run all phases and return."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self.request_stop)
        await self._stop(await wait_requested(self._requested, self._clock))

    async def _stop(self, requested_at: float) -> None:
        await self._handle(StopRequested(requested_at))
        while self.state.phase is not Phase.GONE:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            await self._handle(self._find_message())

    def _find_message(self) -> Message:
        task = self._hand_over_task
        if task is not None and task.done():
            return HandedOver()
        return Tick(self._requests.count_open())

    async def _handle(self, message: Message) -> None:
        before = self.state.phase
        effects = decide(self.state, message, self._clock())
        if self.state.phase is not before:
            journal.write_decision(
                'shutdown',
                phase=self.state.phase.value,
                in_flight=self._requests.count_open(),
            )
        await self._run_effects(effects)

    async def _run_effects(self, effects: Sequence[Effect]) -> None:
        if Effect.ANNOUNCE_LEAVING in effects:
            await self._run_hooks(self.hooks.announce)
        if Effect.CLOSE_LISTENERS in effects:
            await self._run_hooks(self.hooks.close)
        if Effect.CUT_REMAINING in effects:
            self._requests.cancel_all()
        if Effect.HAND_OVER in effects:
            handing_over = self._run_hooks(self.hooks.hand_over)
            self._hand_over_task = asyncio.create_task(handing_over)

    async def _run_hooks(self, hooks: Sequence[Hook]) -> None:
        """Run hooks concurrently; one that fails or hangs delays no other."""
        timeout_s = self.state.timing.hand_over_s
        calls = [asyncio.wait_for(hook(), timeout_s) for hook in hooks]
        for outcome in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(outcome, BaseException):
                logging.warning('a stop hook failed: %r', outcome)

    async def _close_connection(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Close callers' connections once the stop has begun."""
        if self.stopping:
            close_after_response(request, response)
