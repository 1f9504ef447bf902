"""Local admission of requests, with a prefill queue per model service."""

import asyncio
from typing import Final, final

from absl import logging
from returns.result import Failure, Result, Success

from verbenahall import fair_shares, journal, metrics
from verbenahall.catalog import Service
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.overload import report_overload
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

#: Interval in seconds at which queues are processed, in addition to the end of
#: each local prefill: prefills of peers end as well, and requests that have
#: waited too long must be refused.
_POLL_S: Final = 0.02

AdmitResult = Result[Admitted, Problem]


@final
class PrefillQueues:
    """Admits requests when an engine has room for their prompts."""

    __slots__ = ('_core', '_queues', '_futures', '_polling')

    def __init__(self, core: Core) -> None:
        """Start without queues."""
        self._core = core
        self._queues: dict[str, PrefillQueue] = {}
        self._futures: dict[QueuedRequest, asyncio.Future[AdmitResult]] = {}
        self._polling: set[str] = set()

    async def admit(
        self,
        call: Call,
        placement_request: PlacementRequest,
        tried: frozenset[str],
    ) -> AdmitResult:
        """Wait until the request is admitted or refused.

        An admitted request has a reservation in the load table, which the
        calling code must close.
        """
        now = self._core.now()
        pending = QueuedRequest(
            call.head.identity,
            placement_request,
            call.priority,
            queued_at=now,
            due_at=call.due_at,
            objective_s=call.route.objective_s,
            leaves_at=call.leaves_at,
            returning=call.returning,
            tried=tried,
            source=call.describe_source(
                self._core.settings.name, self._core.settings.data_centre
            ),
        )
        future = asyncio.get_running_loop().create_future()
        self._futures[pending] = future
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
        self.admit_waiting(call.service)
        try:
            return await self._await_outcome(call, queue, pending, future)
        finally:
            queue.remove(pending)
            self._futures.pop(pending)

    def record_first_event(
        self, call: Call, pending: QueuedRequest, admitted_at: float
    ) -> None:
        """Record the time to the first event of an admitted request.

        ``admitted_at`` is when it was admitted, in monotonic seconds.
        """
        now = self._core.now()
        queue = self._queues[call.service.name]
        queue.record_first_event(pending, now - admitted_at, now)

    def admit_waiting(self, service: Service) -> None:
        """Admit waiting requests that an engine has room for."""
        queue = self._queues.get(service.name)
        if queue is None or not queue.waiting:
            return
        # Polled also after a run that fails: each one may be the last event.
        if service.name not in self._polling:
            self._polling.add(service.name)
            loop = asyncio.get_running_loop()
            loop.call_later(_POLL_S, self._poll, service)
        try:
            self._process(service, queue)
        except Exception:
            # The request that caused this run is not among those that wait.
            logging.exception('a run over a prefill queue failed')

    def _process(self, service: Service, queue: PrefillQueue) -> None:
        now = self._core.now()
        shares = self._core.fair_shares.find(service.name)
        fair_shares.mark_beyond_share(shares, queue.waiting, now)
        self._apply(
            dispatch(
                queue,
                self._describe_fleet(service, now),
                now,
                self._core.random,
            ),
        )
        report_overload(queue.overload, service.name, queue.waiting, now)

    def _poll(self, service: Service) -> None:
        self._polling.discard(service.name)
        self.admit_waiting(service)

    async def _await_outcome(
        self,
        call: Call,
        queue: PrefillQueue,
        pending: QueuedRequest,
        future: asyncio.Future[AdmitResult],
    ) -> AdmitResult:
        if not future.done():
            _log_queued(call, queue, pending, self._core.now())
        left_s = call.leaves_at - self._core.now()
        try:
            async with asyncio.timeout(left_s):
                outcome = await self._await_future(future)
        except TimeoutError:
            # The queue refuses a request earlier, unless its runs fail.
            message = 'the request was not admitted in time'
            return Failure(Problem(ErrorKind.OVERLOADED, message, Ran.NO))
        metrics.QUEUE_SECONDS.observe(self._core.now() - call.received)
        return outcome

    async def _await_future(
        self, future: asyncio.Future[AdmitResult]
    ) -> AdmitResult:
        try:
            return await future
        except asyncio.CancelledError:
            # The caller disconnected. If its request was admitted in the same
            # iteration of the event loop, the reservation must be closed, or
            # it would count as a prefill that never ends.
            if future.done() and not future.cancelled():
                self._release(future.result())
            raise

    def _release(self, outcome: AdmitResult) -> None:
        if isinstance(outcome, Success):
            self._core.placement.load_table.close(outcome.unwrap().flight)
            self._core.fair_shares.record_end(outcome.unwrap(), refused=True)

    def _describe_fleet(self, service: Service, now: float) -> Fleet:
        core = self._core
        usable = core.endpoints.list_usable(service.name, now)
        waiting_count = len(self._queues[service.name].waiting)
        return Fleet(core.placement, usable, service.engine, waiting_count)

    def _apply(self, effects: QueueEffects) -> None:
        core = self._core
        for admitted in effects.admitted:
            core.fair_shares.record_admitted(
                admitted, core.placement, core.now()
            )
            self._resolve(admitted.pending, Success(admitted))
        for pending, problem in effects.refused:
            metrics.SHED.add(str(pending.priority))
            self._resolve(pending, Failure(problem))

    def _resolve(self, pending: QueuedRequest, outcome: AdmitResult) -> None:
        future = self._futures.get(pending)
        if future is not None and not future.done():
            future.set_result(outcome)
        else:
            # The caller has disconnected since the queue was processed.
            self._release(outcome)


def _log_queued(
    call: Call, queue: PrefillQueue, pending: QueuedRequest, now: float
) -> None:
    journal.write_decision(
        'queued',
        request=call.head.identity,
        waiting=len(queue.waiting),
        late=pending.is_late(now),
        returning=pending.returning,
        lead_s=journal.round_to_ms(pending.expected_first_s),
        due_s=journal.round_to_ms(pending.due_at - now),
    )
