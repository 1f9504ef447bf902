"""Model requests: branches of attempts, of which one relays its stream."""

import functools
from typing import final

from aiohttp import web
from returns.result import Failure, Success

from verbenahall import metrics
from verbenahall.errors import Problem
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._dispatch import Dispatch
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._sender import Sender
from verbenahall.gateway._stream_branch import StreamBranch, StreamResult
from verbenahall.gateway._stream_placement import find_version
from verbenahall.hedging import Branch, Race


@final
class StreamFlow:
    """Handles one model request to the end of its stream."""

    __slots__ = ('_attempts', '_core', '_relay', '_sender')

    def __init__(
        self,
        core: Core,
        sender: Sender,
        attempts: Attempts,
        request: web.Request,
    ) -> None:
        """Store the arguments; nothing is sent before ``run``."""
        self._attempts = attempts
        self._core = core
        self._relay = EventRelay(request, attempts.call, core.now)
        self._sender = sender

    async def run(self, dispatch: Dispatch) -> web.StreamResponse:
        """Make attempts until the stream ends or the request is given up."""
        try:
            match await self._run(dispatch):
                case Success(response):
                    return response
                case Failure(problem):
                    return self._abandon(problem)
        finally:
            metrics.ATTEMPTS.add(str(self._attempts.started))
        raise AssertionError('a result is a success or a failure')

    async def _run(self, dispatch: Dispatch) -> StreamResult:
        """Find the version of a stream that is taken up, and run branches.

        The instance that has forwarded the request states the version itself.
        """
        match await find_version(self._core, self._attempts.call):
            case Success(version):
                self._relay.state.version = version
            case Failure(problem):
                return Failure(problem)
        return await Race(functools.partial(self._run_branch, dispatch)).run()

    async def _run_branch(
        self, dispatch: Dispatch, branch: Branch
    ) -> StreamResult:
        attempts = StreamBranch(
            self._core, self._sender, self._attempts, self._relay, branch
        )
        return await attempts.run(dispatch)

    def _abandon(self, problem: Problem) -> web.StreamResponse:
        """Return an error response, or abort the stream if it has begun.

        Ended normally, the stream would look complete to the caller.
        """
        answer = self._attempts.abandon(problem, delivered=self._relay.begun)
        return self._relay.abort_stream() or answer
