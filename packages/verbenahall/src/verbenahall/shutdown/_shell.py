"""Shell of the graceful stop: signals, counting and the phases' effects."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, final

from absl import logging
from aiohttp import hdrs, web

from verbenahall import clock, journal
from verbenahall.shutdown._decisions import decide
from verbenahall.shutdown._messages import (
    DEFAULT_TIMING,
    Effect,
    HandedOver,
    Message,
    Phase,
    StopAsked,
    StopTiming,
    Tick,
)
from verbenahall.shutdown._open_requests import OpenRequests
from verbenahall.shutdown._state import ShutdownState

_TICK_S: Final = 0.05
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

Hook = Callable[[], Awaitable[None]]


@final
class StopHooks:
    """What an instance does in the phases; each list is called together.

    ``announce`` is called when the stop begins, to tell peers; ``close``
    closes the listeners; ``hand_over`` releases leases after the last
    request.
    """

    __slots__ = ('announce', 'close', 'hand_over')

    def __init__(self) -> None:
        """Start with empty lists."""
        self.announce: list[Hook] = []
        self.close: list[Hook] = []
        self.hand_over: list[Hook] = []


@final
class GracefulStop:
    """Takes an instance from serving to gone without cutting a request.

    The instance puts it on its application, gives hooks, and awaits
    ``run()``, which returns when the process may exit::

        stop = GracefulStop(StopTiming(grace_s=30))
        stop.add_to(app)
        stop.hooks.close.append(site.stop)
        stop.hooks.hand_over.append(keeper.release)
        await stop.run()
        await runner.cleanup()
    """

    def __init__(
        self,
        timing: StopTiming = DEFAULT_TIMING,
        now: clock.Clock = clock.monotonic,
    ) -> None:
        """Start serving."""
        self.state = ShutdownState(timing)
        self.hooks = StopHooks()
        self._requests = OpenRequests()
        self._now = now
        self._asked = asyncio.Event()
        self._handing_over: asyncio.Task[None] | None = None

    @property
    def stopping(self) -> bool:
        """Whether the instance is not ready because it stops."""
        return self.state.stopping

    @property
    def finishing(self) -> bool:
        """Whether nothing new is taken on any more."""
        return self.state.finishing

    def add_to(self, app: web.Application) -> None:
        """Count the application's requests and close its connections."""
        app.middlewares.append(self._requests.count)
        app.on_response_prepare.append(self._close_connection)

    def ask(self) -> None:
        """Ask for the stop; asking again changes nothing."""
        logging.info('stop asked for in phase %s', self.state.phase.value)
        self._asked.set()

    async def run(self) -> None:
        """Wait for a signal, go through the phases, return when gone."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self.ask)
        await self._asked.wait()
        await self._stop()

    async def _stop(self) -> None:
        await self._step(StopAsked())
        while self.state.phase is not Phase.GONE:
            await asyncio.sleep(_TICK_S)
            await self._step(self._find_message())

    def _find_message(self) -> Message:
        task = self._handing_over
        if task is not None and task.done():
            return HandedOver()
        return Tick(self._requests.count_open())

    async def _step(self, message: Message) -> None:
        before = self.state.phase
        effects = decide(self.state, message, self._now())
        if self.state.phase is not before:
            journal.write_decision(
                'shutdown',
                phase=self.state.phase.value,
                in_flight=self._requests.count_open(),
            )
        await self._perform(effects)

    async def _perform(self, effects: Sequence[Effect]) -> None:
        if Effect.ANNOUNCE_LEAVING in effects:
            await self._call(self.hooks.announce)
        if Effect.CLOSE_LISTENERS in effects:
            await self._call(self.hooks.close)
        if Effect.CUT_REMAINING in effects:
            self._requests.cut()
        if Effect.HAND_OVER in effects:
            handing_over = self._call(self.hooks.hand_over)
            self._handing_over = asyncio.create_task(handing_over)

    async def _call(self, hooks: Sequence[Hook]) -> None:
        """Call hooks together; one that fails or hangs holds up no other."""
        timeout_s = self.state.timing.hand_over_s
        calls = [asyncio.wait_for(hook(), timeout_s) for hook in hooks]
        for outcome in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(outcome, BaseException):
                logging.warning('a hook of the stop failed: %r', outcome)

    async def _close_connection(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Answer with ``Connection: close`` once the stop has begun.

        A caller that keeps its connection would send its next request just
        when the process closes it, and see a reset.
        """
        if self.stopping:
            # The headers are laid out before this hook, so force_close
            # alone would close without telling the caller.
            response.headers[hdrs.CONNECTION] = 'close'
            response.force_close()
