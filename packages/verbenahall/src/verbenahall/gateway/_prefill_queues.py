"""Admits requests to engines; one prefill queue for each model service."""

import asyncio
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.catalog import Service
from verbenahall.errors import Problem
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.placement import (
    Admitted,
    Fleet,
    PlacementRequest,
    PrefillQueue,
    QueuedRequest,
    QueueEffects,
    dispatch,
    enqueue,
)

#: How often waiting requests are looked at beside the ends of own reads, in
#: seconds: peers' reads end, and what waited too long is told so.
_LOOK_S: Final = 0.02

Verdict = Result[Admitted, Problem]


@final
class PrefillQueues:
    """Admits requests whose prompts engines have room for."""

    __slots__ = ('_core', '_queues', '_waits', '_looking')

    def __init__(self, core: Core) -> None:
        """Start without queues."""
        self._core = core
        self._queues: dict[str, PrefillQueue] = {}
        self._waits: dict[QueuedRequest, asyncio.Future[Verdict]] = {}
        self._looking: set[str] = set()

    async def take(
        self,
        call: Call,
        wanted: PlacementRequest,
        tried: frozenset[str],
    ) -> Verdict:
        """Wait to be admitted; whoever is must close its work in flight."""
        now = self._core.now()
        pending = QueuedRequest(
            call.ask.identity,
            wanted,
            call.priority,
            since=now,
            due_at=call.due,
            objective_s=call.route.objective_s,
            leaves_at=call.leaves,
            returning=call.waited_s > 0,
            tried=tried,
        )
        wait = asyncio.get_running_loop().create_future()
        self._waits[pending] = wait
        queue = self._queues.setdefault(call.service.name, PrefillQueue())
        self._apply(
            enqueue(
                queue,
                pending,
                self._describe_fleet(call.service, now),
                now,
                self._core.random,
            ),
        )
        self.look(call.service)
        try:
            return await self._wait(call, queue, pending, wait)
        finally:
            queue.remove(pending)
            self._waits.pop(pending)

    def note_first(
        self, call: Call, pending: QueuedRequest, sent_at: float
    ) -> None:
        """Learn from the first event of a request that was admitted."""
        now = self._core.now()
        queue = self._queues[call.service.name]
        queue.note_first(pending, now - sent_at, now)

    def look(self, service: Service) -> None:
        """Admit those that engines have room for."""
        queue = self._queues.get(service.name)
        if queue is None or not queue.waiting:
            return
        now = self._core.now()
        self._apply(
            dispatch(
                queue,
                self._describe_fleet(service, now),
                now,
                self._core.random,
            ),
        )
        if queue.waiting and service.name not in self._looking:
            self._looking.add(service.name)
            loop = asyncio.get_running_loop()
            loop.call_later(_LOOK_S, self._look_again, service)

    def _look_again(self, service: Service) -> None:
        self._looking.discard(service.name)
        self.look(service)

    async def _wait(
        self,
        call: Call,
        queue: PrefillQueue,
        pending: QueuedRequest,
        wait: asyncio.Future[Verdict],
    ) -> Verdict:
        if not wait.done():
            self._tell_waiting(call, queue, pending)
        try:
            verdict = await wait
        except asyncio.CancelledError:
            # The caller went away. Admitted in the same moment, its request
            # would count as a prefill that never ends.
            if wait.done() and not wait.cancelled():
                self._give_back(wait.result())
            raise
        metrics.QUEUE_SECONDS.observe(self._core.now() - call.received)
        return verdict

    def _give_back(self, verdict: Verdict) -> None:
        if isinstance(verdict, Success):
            self._core.placement.ledger.close(verdict.unwrap().flight)

    def _describe_fleet(self, service: Service, now: float) -> Fleet:
        core = self._core
        usable = core.list_usable(service.name, now)
        waiting = len(self._queues[service.name].waiting)
        return Fleet(core.placement, usable, service.engine, waiting)

    def _apply(self, effects: QueueEffects) -> None:
        for admitted in effects.admitted:
            self._settle(admitted.pending, Success(admitted))
        for pending, problem in effects.refused:
            metrics.SHED.add(str(pending.priority))
            self._settle(pending, Failure(problem))

    def _settle(self, pending: QueuedRequest, verdict: Verdict) -> None:
        wait = self._waits.get(pending)
        if wait is not None and not wait.done():
            wait.set_result(verdict)
        else:
            # The caller has left between two looks.
            self._give_back(verdict)

    def _tell_waiting(
        self, call: Call, queue: PrefillQueue, pending: QueuedRequest
    ) -> None:
        now = self._core.now()
        journal.write_decision(
            'queued',
            request=call.ask.identity,
            waiting=len(queue.waiting),
            late=pending.is_late(now),
            returning=pending.returning,
            lead_s=journal.round_seconds(pending.lead_s),
            due_s=journal.round_seconds(pending.due_at - now),
        )
