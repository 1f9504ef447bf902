"""Requests engines from the schedulers of engine groups."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
from collections.abc import Sequence
from typing import Final, final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.gateway._scheduled_grants import (
    AssignmentChannel,
    ScheduledGrant,
    Send,
)
from verbenahall.overflow import GroupOrder, StatusTable, order_groups
from verbenahall.placement import (
    PlacementRequest,
    Plan,
    RequestSource,
    Totals,
    Work,
)
from verbenahall.scheduling import (
    Assignment,
    Declined,
    Queued,
    Rejection,
    Released,
    ScheduleRequest,
    SchedulerHealth,
    find_status,
    is_local,
    needs_scheduler,
    rank_groups,
    rank_schedulers,
)
from verbenahall.roster import Entry, fits_version

Answer = Assignment | Rejection | Declined

#: Timeout of a scheduler's answer, in seconds; then the next scheduler is
#: tried. An answer takes some milliseconds, at worst the 0.1 s for which a
#: machine is throttled when its processor quota is used up.
_ANSWER_S: Final = 0.1
#: Interval at which a queued request is sent to its scheduler again, in
#: seconds. It detects a dead scheduler and recovers a lost answer.
_RESEND_S: Final = 0.25
#: Number of schedulers that are tried for a request and group, if the group is
#: in the local data centre and if it is in another one. If a remote scheduler
#: is unresponsive, its whole data centre may be cut off, and a prompt with half
#: a second left is better served by the next group.
_MAX_LOCAL_TRIES: Final = 2
_MAX_REMOTE_TRIES: Final = 1
#: Consecutive requests without an answer from any scheduler of a group before
#: the group is skipped.
_MAX_MISSES: Final = 2
#: Longest time for which a group whose schedulers are unresponsive is skipped,
#: in seconds. Its data centre is probably cut off, mostly for a short time.
_GROUP_SKIP_S: Final = 4.0


@final
class SchedulerClient:
    """Requests engine assignments from the schedulers of a large fleet.

    In a small fleet each instance chooses engines by itself.
    """

    __slots__ = (
        '_core',
        '_groups',
        '_health',
        '_inboxes',
        '_misses',
        '_numbers',
        '_send',
        '_statuses',
    )

    def __init__(self, core: Core, send: Send) -> None:
        """Send requests by ``send``; answers are passed to ``receive``."""
        self._core = core
        self._groups = SchedulerHealth(_GROUP_SKIP_S)
        self._health = SchedulerHealth()
        self._inboxes: dict[str, asyncio.Queue[Queued | Answer]] = {}
        self._misses: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()
        self._send = send
        self._statuses = StatusTable()

    def receive(self, message: Queued | Answer, scheduler: str) -> None:
        """Handle an answer of the scheduler at an address."""
        inbox = self._inboxes.get(message.key)
        if inbox is not None:
            inbox.put_nowait(message)
        elif isinstance(message, Assignment):
            # The request has been sent elsewhere. Without a release, the
            # engines' slots would stay reserved until its deadline.
            self._send(scheduler, Released(message.key))

    async def request_assignment(
        self,
        call: Call,
        placement_request: PlacementRequest,
        tried: frozenset[str],
    ) -> Maybe[Result[ScheduledGrant, Problem]]:
        """Return the assigned engines, or why the request cannot be served.

        Nothing means that this instance has to choose engines by itself:
        in a small fleet it knows the whole load, and in a large one all
        schedulers may be unreachable.
        """
        if not needs_scheduler(self._core.peer_table):
            return Nothing
        now = self._core.now()
        endpoints = self._core.endpoints
        usable = endpoints.list_assignable(call.service.name, now)
        unavailable = frozenset(
            one.name
            for one in endpoints.list_backing_off(call.service.name, now)
        )
        found: Maybe[Result[ScheduledGrant, Problem]] = Nothing
        skipped = self._groups.list_unresponsive(now)
        order = _order_groups(
            self._core, self._statuses, call, placement_request.work, usable
        )
        for group in order.groups:
            if group in skipped:
                continue
            answer = await self._request_from_group(
                _GroupRequest(
                    call,
                    placement_request,
                    tried,
                    unavailable,
                    group,
                    call.describe_source(
                        self._core.settings.name,
                        self._core.settings.data_centre,
                    ),
                    order.find_spilled(group),
                ),
            )
            match answer:
                case Some(Success(_)):
                    return answer
                # The caller returns to the first group, at its time.
                case Some(_) if found is Nothing:
                    found = answer
        return found

    async def _request_from_group(
        self,
        group_request: '_GroupRequest',
    ) -> Maybe[Result[ScheduledGrant, Problem]]:
        for scheduler in self._list_schedulers(group_request.group):
            answer = await self._request_from_scheduler(
                group_request, scheduler
            )
            if answer is not None:
                self._groups.record_answer(group_request.group)
                self._misses.pop(group_request.group, None)
            match answer:
                case Assignment():
                    return self._accept(group_request, answer, scheduler)
                case Rejection():
                    return _read_rejection(answer)
        self._misses[group_request.group] += 1
        if self._misses[group_request.group] >= _MAX_MISSES:
            self._groups.record_timeout(group_request.group, self._core.now())
        return Nothing

    def _list_schedulers(self, group: str) -> Sequence[str]:
        now = self._core.now()
        peer_table = self._core.peer_table
        avoided = self._health.list_unresponsive(now)
        max_tries = (
            _MAX_LOCAL_TRIES
            if is_local(group, peer_table)
            else _MAX_REMOTE_TRIES
        )
        return rank_schedulers(group, peer_table, now, avoided)[:max_tries]

    async def _request_from_scheduler(
        self,
        group_request: '_GroupRequest',
        scheduler: str,
    ) -> Answer | None:
        """Send a request to one scheduler; None if it times out or declines."""
        started = self._core.now()
        key = self._make_key(group_request.call)
        address = self._find_address(scheduler)
        inbox: asyncio.Queue[Queued | Answer] = asyncio.Queue()
        self._inboxes[key] = inbox
        answer: Answer | None = None
        try:
            answer = await self._send_until_answered(
                group_request, key, address, inbox
            )
        finally:
            self._inboxes.pop(key)
            if not isinstance(answer, Assignment | Rejection):
                # The scheduler may be slow and still assign engines, or the
                # caller has disconnected while its request is queued.
                self._send(address, Released(key))
        self._record_outcome(
            group_request,
            scheduler,
            answer,
            self._core.now() - started,
        )
        return answer

    async def _send_until_answered(
        self,
        group_request: '_GroupRequest',
        key: str,
        address: str,
        inbox: asyncio.Queue[Queued | Answer],
    ) -> Answer | None:
        """Send the request, again while it is queued; None on a timeout.

        A scheduler that works rejects a request before its caller leaves.
        """
        while self._core.now() < group_request.call.leaves_at:
            self._send(address, group_request.build(key, self._core.now()))
            message = await _receive_within(inbox, _ANSWER_S)
            self._statuses.record(
                *group_request.scope, find_status(message), self._core.now()
            )
            if isinstance(message, Queued):
                message = await _receive_within(inbox, _RESEND_S)
                self._statuses.record(
                    *group_request.scope, find_status(message), self._core.now()
                )
                if message is None or isinstance(message, Queued):
                    continue
            return message
        return None

    def _make_key(self, call: Call) -> str:
        """Return a key that is unique in the fleet."""
        instance = self._core.settings.name
        number = str(next(self._numbers))
        return '/'.join((call.head.identity, instance, number))

    def _record_outcome(
        self,
        group_request: '_GroupRequest',
        scheduler: str,
        answer: Answer | None,
        waited_s: float,
    ) -> None:
        if answer is None or isinstance(answer, Declined):
            self._health.record_timeout(scheduler, self._core.now())
        else:
            self._health.record_answer(scheduler)
        metrics.QUEUE_SECONDS.observe(waited_s)
        journal.write_decision(
            'scheduled',
            request=group_request.call.head.identity,
            scheduler=scheduler,
            group=group_request.group,
            outcome=type(answer).__name__ if answer else 'silent',
            waited_s=journal.round_to_ms(waited_s),
        )

    def _find_address(self, scheduler: str) -> str:
        peer = self._core.peer_table.peers.get(scheduler)
        if peer is None:
            return self._core.settings.peer_address
        return peer.address

    def _accept(
        self,
        group_request: '_GroupRequest',
        assignment: Assignment,
        scheduler: str,
    ) -> Maybe[Result[ScheduledGrant, Problem]]:
        """Accept the engines, unless one is not usable for this instance."""
        address = self._find_address(scheduler)
        now = self._core.now()
        usable = self._core.endpoints.list_assigned(
            group_request.call.service.name, now
        )
        by_name = {one.name: one for one in usable}
        decode = by_name.get(assignment.decode)
        prefill = by_name.get(assignment.prefill)
        if not _fits(group_request, decode) or (
            assignment.prefill and prefill is None
        ):
            self._send(address, Released(assignment.key))
            return Nothing
        plan = Plan(
            prefill,
            decode,
            assignment.missing,
            assignment.wait_s,
            f'{group_request.group} {assignment.reason}',
            assignment.ahead_s,
        )
        flight = self._core.placement.load_table.open(
            (prefill or decode).name,
            Totals(prefill_tokens=assignment.missing),
        )
        channel = AssignmentChannel(self._send, address, assignment.key)
        return Some(Success(ScheduledGrant(self._core, plan, flight, channel)))


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupRequest:
    """A request for engines of one group."""

    call: Call
    placement_request: PlacementRequest
    tried: frozenset[str]
    unavailable: frozenset[str]
    group: str
    source: RequestSource
    spilled: str

    @property
    def scope(self) -> tuple[str, str]:
        """The service and the group."""
        return (self.call.service.name, self.group)

    def build(self, key: str, now: float) -> ScheduleRequest:
        """Return the message to a scheduler, with the remaining times."""
        call = self.call
        return ScheduleRequest(
            key=key,
            service=call.service.name,
            group=self.group,
            work=self.placement_request.work,
            gap_s=self.placement_request.gap_s,
            priority=call.priority,
            due_s=call.due_at - now,
            objective_s=call.route.objective_s,
            leaves_s=call.leaves_at - now,
            deadline_s=call.left_s(now),
            returning=call.returning,
            tried=tuple(self.tried),
            unavailable=tuple(self.unavailable),
            version=self.placement_request.version,
            source=self.source,
            spilled=self.spilled,
        )


async def _receive_within(
    inbox: asyncio.Queue[Queued | Answer],
    within_s: float,
) -> Queued | Answer | None:
    """Return the next message, None on a timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            return await inbox.get()
    return None


def _order_groups(
    core: Core,
    statuses: StatusTable,
    call: Call,
    work: Work,
    usable: Sequence[Entry],
) -> GroupOrder:
    """Return the groups for a prompt, past one that is near its limit."""
    shared_tokens = sum(part.tokens for part in work.shared_parts)
    prefix_s = core.placement.prefill_speed.predict_s(shared_tokens, 0)
    order = order_groups(
        statuses,
        call.service.name,
        rank_groups(work, usable, core.settings.data_centre),
        prefix_s / call.route.objective_s,
        core.now(),
    )
    if order.spilled:
        metrics.OVERFLOWS.add(order.groups[0])
        journal.write_decision(
            'overflow',
            request=call.head.identity,
            group=order.spilled,
            to=order.groups[0],
        )
    return order


def _fits(group_request: _GroupRequest, decode: Entry | None) -> bool:
    """Whether a request may be sent to the decode engine of an assignment.

    The scheduler may know other endpoints, or may heed no versions.
    """
    return decode is not None and fits_version(
        decode, group_request.placement_request.version
    )


def _read_rejection(
    rejection: Rejection,
) -> Maybe[Result[ScheduledGrant, Problem]]:
    """Return the problem of an overload, Nothing for other rejections.

    Other rejections may be due to outdated state of the scheduler.
    """
    if rejection.kind != ErrorKind.OVERLOADED.value:
        return Nothing
    problem = Problem(
        ErrorKind.OVERLOADED,
        rejection.message,
        Ran.NO,
        retry_after_s=rejection.retry_after_s,
    )
    return Some(Failure(problem))
