"""Runs one attempt of a request at its endpoint."""

import asyncio
from typing import final

from returns.result import Failure, Result

from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._feedback import may_still_run, record_outcome
from verbenahall.front._messages import Call
from verbenahall.front._progress import (
    PlacedAttempt,
    Progress,
    Sender,
    Sent,
    estimate_work,
)
from verbenahall.load import record_finished, record_sent
from verbenahall.requests import Outcome, TimedOut


@final
class Exchange:
    """Sends attempts, and counts them as open at their endpoints."""

    __slots__ = ('_dependencies',)

    def __init__(self, dependencies: FrontDependencies) -> None:
        """Update the states of ``dependencies``."""
        self._dependencies = dependencies

    async def run(
        self,
        placed: PlacedAttempt,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Outcome]:
        """Run one attempt within the deadline; cancel it if it is left."""
        result: Result[Sent, Outcome] = Failure(TimedOut())
        try:
            result = await self._send(placed, progress, sender)
        finally:
            # This also runs when the caller disconnects or another attempt is
            # answered; without a cancel call the engine would keep working.
            if may_still_run(result):
                sender.cancel(placed)
        record_outcome(self._dependencies, placed.endpoint, result)
        return result

    async def _send(
        self,
        placed: PlacedAttempt,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Outcome]:
        self._record_open(placed, progress.call)
        try:
            async with asyncio.timeout(placed.remaining_s):
                return await sender.send(placed)
        except TimeoutError:
            return Failure(TimedOut())
        finally:
            self._record_closed(placed)

    def _record_open(self, placed: PlacedAttempt, call: Call) -> None:
        record_sent(
            self._dependencies.load,
            placed.endpoint.name,
            placed.attempt,
            estimate_work(call),
            self._dependencies.clock(),
        )

    def _record_closed(self, placed: PlacedAttempt) -> None:
        record_finished(
            self._dependencies.load,
            placed.endpoint.name,
            placed.attempt,
            self._dependencies.clock(),
        )
