"""Schedules groups of engines for requests of all instances."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Final, final

from absl import logging
from returns.maybe import Some

from verbenahall.catalog import Service
from verbenahall.gateway._core import Core
from verbenahall.gateway._scheduler_client import SchedulerClient
from verbenahall.overload import report_overload
from verbenahall.peers import PeerExchange
from verbenahall.placement import Fleet
from verbenahall.scheduling import (
    Assignment,
    Declined,
    FirstEvent,
    Message,
    Prefilled,
    Queued,
    Rejection,
    Released,
    Reply,
    ScheduleRequest,
    SchedulerState,
    ShareReporter,
    add_status,
    assign_waiting,
    decline_waiting,
    decode,
    encode,
    expire_assignments,
    list_group_engines,
    log_reply,
    receive_request,
    record_progress,
    begin_trials,
    record_trial_progress,
    refuse_spill,
)

#: Interval at which queues are processed without an event, in seconds, so that
#: requests that cannot be served in time are rejected.
_QUEUE_INTERVAL_S: Final = 0.02
#: Shortest time between two runs over a queue, in seconds.
_MIN_QUEUE_INTERVAL_S: Final = 0.005
#: Interval at which assignments without a release are expired, in seconds.
_EXPIRE_S: Final = 0.5

_Scope = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _QueueRun:
    """The next run over a queue, and its timer."""

    at: float
    timer: asyncio.TimerHandle


@final
class Scheduler:
    """Schedules engine groups; the state is kept by service and group."""

    __slots__ = (
        'stopping',
        '_core',
        '_next_runs',
        '_processed_at',
        '_send',
        '_share_reporter',
        '_states',
    )

    def __init__(
        self,
        core: Core,
        send: Callable[[str, Message], None],
        share_reporter: ShareReporter,
    ) -> None:
        """Send replies by ``send``.

        While ``stopping`` returns True, all requests are declined.
        """
        self.stopping: Callable[[], bool] = bool
        self._core = core
        self._send = send
        self._share_reporter = share_reporter
        self._states: dict[_Scope, SchedulerState] = {}
        self._processed_at: dict[_Scope, float] = {}
        self._next_runs: dict[_Scope, _QueueRun] = {}

    async def run(self) -> None:
        """Expire assignments and report shares, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRE_S)
            now = self._core.now()
            for (service, _), state in self._states.items():
                expire_assignments(state, now)
                if state.queue.waiting:
                    usable = self._core.endpoints.list_usable(service, now)
                    self._share_reporter.report(service, usable, now)
            self._core.fair_shares.refresh(now)

    def receive_request(self, request: ScheduleRequest, sender: str) -> None:
        """Schedule a request of the instance at address ``sender``."""
        service = self._list_services().get(request.service)
        if service is None or self.stopping():
            self._send(sender, Declined(request.key))
            return
        scope = (request.service, request.group)
        state = self._find_state(scope)
        now = self._core.now()
        refusal = refuse_spill(state, request, now)
        if refusal is not None:
            self._send_replies((Reply(sender, refusal),), state)
            return
        fleet = self._describe_fleet(state, service, request.group)
        self._send_replies(
            receive_request(
                state, request, sender, fleet, now, self._core.random
            ),
            state,
        )
        self._schedule_run(scope)

    def receive_progress(
        self,
        progress: Prefilled | FirstEvent | Released,
    ) -> None:
        """Record the progress of an assignment, and assign freed engines."""
        for scope, state in self._states.items():
            if progress.key in state.assigned or progress.key in state.waiting:
                self._record_progress(scope, state, progress)
                return

    def _find_state(self, scope: _Scope) -> SchedulerState:
        state = self._states.get(scope)
        if state is None:
            placement = self._core.placement.copy_without_load()
            state = SchedulerState(
                placement,
                self._core.now(),
                self._core.fair_shares.find(*scope),
            )
            self._states[scope] = state
        return state

    def _record_progress(
        self,
        scope: _Scope,
        state: SchedulerState,
        progress: Prefilled | FirstEvent | Released,
    ) -> None:
        # A service that has left the manifest still has open requests.
        name, _ = scope
        service = self._list_services().get(name, Service(name))
        now = self._core.now()
        record_trial_progress(state, progress, self._core.endpoint_health, now)
        record_progress(state, progress, service, now)
        if isinstance(progress, Released) and progress.refused:
            self._core.endpoint_health.record_refusal(progress.refused, now)
        self._schedule_run(scope)

    def _schedule_run(self, scope: _Scope, within_s: float = 0) -> None:
        """Schedule one run over a queue for all messages until then.

        A run costs about a millisecond. One run per datagram took a whole
        processor core at the highest load, and answers came after their
        timeout.
        """
        if not self._states[scope].queue.waiting:
            return
        now = self._core.now()
        last_at = self._processed_at.get(scope, now - _MIN_QUEUE_INTERVAL_S)
        run_at = max(now + within_s, last_at + _MIN_QUEUE_INTERVAL_S)
        scheduled = self._next_runs.get(scope)
        if scheduled is not None and scheduled.at <= run_at:
            return
        if scheduled is not None:
            scheduled.timer.cancel()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(run_at - now, self._process_queue, scope)
        self._next_runs[scope] = _QueueRun(run_at, timer)

    def _process_queue(self, scope: _Scope) -> None:
        self._next_runs.pop(scope)
        state = self._states[scope]
        now = self._core.now()
        self._processed_at[scope] = now
        service = self._list_services().get(scope[0])
        if service is None:
            self._send_replies(decline_waiting(state, now), state)
            return
        fleet = self._describe_fleet(state, service, scope[1])
        try:
            replies = assign_waiting(state, fleet, now, self._core.random)
        except Exception:
            # Instances would repeat their requests until their callers leave.
            logging.exception('a run over the queue of a scheduler failed')
            replies = decline_waiting(state, now)
        self._send_replies(replies, state)
        queue = state.queue
        report_overload(queue.overload, scope[0], queue.waiting, now)
        self._schedule_run(scope, _QUEUE_INTERVAL_S)

    def _describe_fleet(
        self,
        state: SchedulerState,
        service: Service,
        group: str,
    ) -> Fleet:
        usable = self._core.endpoints.list_assignable(
            service.name,
            self._core.now(),
            is_lost=self._core.reach.is_lost(service.name),
        )
        return Fleet(
            state.placement,
            list_group_engines(group, usable),
            service.engine,
            len(state.queue.waiting),
        )

    def _list_services(self) -> Mapping[str, Service]:
        catalog = self._core.catalog.catalog
        if catalog is None or not self._core.ready:
            return {}
        return {
            name: service
            for name, service in catalog.services.items()
            if service.engine
        }

    def _send_replies(
        self,
        replies: Iterable[Reply],
        state: SchedulerState,
    ) -> None:
        now = self._core.now()
        for reply in replies:
            begin_trials(self._core.endpoint_health, reply.message, now)
            log_reply(reply.message, state)
            self._send(reply.sender, add_status(state, reply.message, now))


@final
class SchedulingTransport:
    """Carries messages between schedulers and their clients.

    Messages between the scheduler and the client of this instance bypass the
    network.
    """

    __slots__ = ('scheduler', 'scheduler_client', '_exchange', '_local_address')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Send and receive datagrams by the exchange between peers."""
        self._local_address = core.settings.peer_address
        self._exchange = exchange
        self.scheduler_client = SchedulerClient(core, self.send)
        reporter = ShareReporter(exchange, core.fair_shares, core.peer_table)
        self.scheduler = Scheduler(core, self.send, reporter)
        exchange.datagram_handler = self.receive_datagram
        exchange.list_charged = core.fair_shares.export
        exchange.on_charged = core.fair_shares.receive

    def receive_datagram(self, datagram: bytes, sender: str) -> bool:
        """Dispatch a datagram; return False if it is of another kind."""
        match decode(datagram):
            case Some(message):
                self._dispatch(message, sender)
                return True
            case _:
                return False

    def send(self, address: str, message: Message) -> None:
        """Send a message; one to this instance needs no datagram."""
        if address == self._local_address:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._dispatch, message, address)
        else:
            self._exchange.send(encode(message), address)

    def _dispatch(self, message: Message, sender: str) -> None:
        match message:
            case ScheduleRequest():
                self.scheduler.receive_request(message, sender)
            case Prefilled() | FirstEvent() | Released():
                self.scheduler.receive_progress(message)
            case Queued() | Assignment() | Rejection() | Declined():
                self.scheduler_client.receive(message, sender)
