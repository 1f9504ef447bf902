"""Asks the schedulers of engine groups where requests go."""

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
    ScheduledGrant,
    AssignmentChannel,
    Send,
)
from verbenahall.placement import PlacementRequest, Plan, Totals
from verbenahall.scheduling import (
    Assignment,
    Declined,
    Queued,
    Rejection,
    Released,
    ScheduleRequest,
    SchedulerHealth,
    is_near,
    needs_scheduler,
    rank_groups,
    rank_schedulers,
)

Answer = Assignment | Rejection | Declined

#: A scheduler answers within this time, in seconds, or the next one is asked.
#: An answer takes some milliseconds, at worst the tenth of a second for which
#: a machine stands still when its share of the processor is used up.
_ANSWER_S: Final = 0.1
#: A request that waits asks again after this time, in seconds. A scheduler
#: that died is noticed by it, and an answer that got lost is had.
_AGAIN_S: Final = 0.25
#: Schedulers that are tried for a request: of the own data centre's group, and
#: of another one. When a far one is silent its data centre may be cut off, and
#: a prompt with half a second left is better off with the next group.
_NEAR_TRIED: Final = 2
_FAR_TRIED: Final = 1
#: Requests in a row that find no scheduler of a group before it is left out.
_MISSES: Final = 2
#: A group whose schedulers are silent is left out for this long at most, in
#: seconds: its data centre is cut off, and soon back.
_GROUP_S: Final = 4.0


@final
class Assignments:
    """Has requests placed by the schedulers of a large fleet."""

    __slots__ = (
        '_core',
        '_groups',
        '_health',
        '_inboxes',
        '_misses',
        '_numbers',
        '_send',
    )

    def __init__(self, core: Core, send: Send) -> None:
        """Ask by ``send``; answers come to ``receive``."""
        self._core = core
        self._groups = SchedulerHealth(_GROUP_S)
        self._health = SchedulerHealth()
        self._inboxes: dict[str, asyncio.Queue[Queued | Answer]] = {}
        self._misses: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()
        self._send = send

    def receive(self, message: Queued | Answer, scheduler: str) -> None:
        """Take an answer from the scheduler at an address."""
        inbox = self._inboxes.get(message.key)
        if inbox is not None:
            inbox.put_nowait(message)
        elif isinstance(message, Assignment):
            # The request has gone elsewhere meanwhile. Kept, the engines'
            # places would stay empty until its deadline.
            self._send(scheduler, Released(message.key))

    async def ask(
        self,
        call: Call,
        wanted: PlacementRequest,
        tried: frozenset[str],
    ) -> Maybe[Result[ScheduledGrant, Problem]]:
        """Return the engines, or why the request cannot be served.

        Nothing tells that this instance has to decide by itself: in a small
        fleet it knows the whole load, and in a large one a scheduler may be
        out of reach.
        """
        if not needs_scheduler(self._core.book):
            return Nothing
        now = self._core.now()
        usable = self._core.list_usable(call.service.name, now)
        found: Maybe[Result[ScheduledGrant, Problem]] = Nothing
        home = self._core.settings.data_centre
        silent = self._groups.list_silent(now)
        for group in rank_groups(wanted.work, usable, home):
            if group in silent:
                continue
            answer = await self._ask_group(_Ask(call, wanted, tried, group))
            match answer:
                case Some(Success(_)):
                    return answer
                case Some(_):
                    found = answer
        return found

    async def _ask_group(
        self,
        ask: '_Ask',
    ) -> Maybe[Result[ScheduledGrant, Problem]]:
        for scheduler in self._list_schedulers(ask.group):
            answer = await self._ask_scheduler(ask, scheduler)
            if answer is not None:
                self._groups.note_answer(ask.group)
                self._misses.pop(ask.group, None)
            match answer:
                case Assignment():
                    return self._accept(ask, answer, scheduler)
                case Rejection():
                    return _read_rejection(answer)
        self._misses[ask.group] += 1
        if self._misses[ask.group] >= _MISSES:
            self._groups.note_silence(ask.group, self._core.now())
        return Nothing

    def _list_schedulers(self, group: str) -> Sequence[str]:
        now = self._core.now()
        book = self._core.book
        silent = self._health.list_silent(now)
        tried = _NEAR_TRIED if is_near(group, book) else _FAR_TRIED
        return rank_schedulers(group, book, now, silent)[:tried]

    async def _ask_scheduler(
        self,
        ask: '_Ask',
        scheduler: str,
    ) -> Answer | None:
        """Ask one scheduler; None when it is silent or takes nothing."""
        started = self._core.now()
        key = self._name(ask.call)
        address = self._find_address(scheduler)
        inbox: asyncio.Queue[Queued | Answer] = asyncio.Queue()
        self._inboxes[key] = inbox
        answer: Answer | None = None
        try:
            answer = await self._wait(ask, key, address, inbox)
        finally:
            self._inboxes.pop(key)
            if not isinstance(answer, Assignment | Rejection):
                # It may be slow rather than gone, or the caller has left.
                self._send(address, Released(key))
        self._judge(ask, scheduler, answer, self._core.now() - started)
        return answer

    async def _wait(
        self,
        ask: '_Ask',
        key: str,
        address: str,
        inbox: asyncio.Queue[Queued | Answer],
    ) -> Answer | None:
        while True:
            self._send(address, ask.build(key, self._core.now()))
            message = await _take(inbox, _ANSWER_S)
            if isinstance(message, Queued):
                message = await _take(inbox, _AGAIN_S)
                if message is None or isinstance(message, Queued):
                    continue
            return message

    def _name(self, call: Call) -> str:
        """Return a key that no other message of any instance has."""
        instance = self._core.settings.name
        number = str(next(self._numbers))
        return '/'.join((call.ask.identity, instance, number))

    def _judge(
        self,
        ask: '_Ask',
        scheduler: str,
        answer: Answer | None,
        waited_s: float,
    ) -> None:
        if answer is None or isinstance(answer, Declined):
            self._health.note_silence(scheduler, self._core.now())
        else:
            self._health.note_answer(scheduler)
        metrics.QUEUE_SECONDS.observe(waited_s)
        journal.write_decision(
            'scheduled',
            request=ask.call.ask.identity,
            scheduler=scheduler,
            group=ask.group,
            outcome=type(answer).__name__ if answer else 'silent',
            waited_s=journal.round_seconds(waited_s),
        )

    def _find_address(self, scheduler: str) -> str:
        peer = self._core.book.peers.get(scheduler)
        if peer is None:
            return self._core.settings.peer_address
        return peer.address

    def _accept(
        self,
        ask: '_Ask',
        assignment: Assignment,
        scheduler: str,
    ) -> Maybe[Result[ScheduledGrant, Problem]]:
        """Take the engines, unless this instance knows that one is gone."""
        address = self._find_address(scheduler)
        now = self._core.now()
        usable = self._core.list_usable(ask.call.service.name, now)
        by_name = {one.name: one for one in usable}
        decode = by_name.get(assignment.decode)
        prefill = by_name.get(assignment.prefill)
        if decode is None or (assignment.prefill and prefill is None):
            self._send(address, Released(assignment.key))
            return Nothing
        plan = Plan(
            prefill,
            decode,
            assignment.missing,
            assignment.wait_s,
            f'{ask.group} {assignment.reason}',
            assignment.ahead_s,
        )
        flight = self._core.placement.ledger.open(
            (prefill or decode).name,
            Totals(reading=assignment.missing),
        )
        contact = AssignmentChannel(self._send, address, assignment.key)
        return Some(Success(ScheduledGrant(self._core, plan, flight, contact)))


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    """A request and the group that it would go to."""

    call: Call
    wanted: PlacementRequest
    tried: frozenset[str]
    group: str

    def build(self, key: str, now: float) -> ScheduleRequest:
        """Return the message, with the times that are left by now."""
        call = self.call
        return ScheduleRequest(
            key=key,
            service=call.service.name,
            group=self.group,
            work=self.wanted.work,
            gap_s=self.wanted.gap_s,
            priority=call.priority,
            due_s=call.due - now,
            objective_s=call.route.objective_s,
            leaves_s=call.leaves - now,
            deadline_s=call.left_s(now),
            returning=call.waited_s > 0,
            tried=tuple(self.tried),
        )


async def _take(
    inbox: asyncio.Queue[Queued | Answer],
    within_s: float,
) -> Queued | Answer | None:
    """Return the next message, None if there is none in time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            return await inbox.get()
    return None


def _read_rejection(
    rejection: Rejection,
) -> Maybe[Result[ScheduledGrant, Problem]]:
    """Return the problem; Nothing for what this instance may know better."""
    if rejection.kind != ErrorKind.OVERLOADED.value:
        return Nothing
    problem = Problem(
        ErrorKind.OVERLOADED,
        rejection.message,
        Ran.NO,
        retry_after_s=rejection.retry_after_s,
    )
    return Some(Failure(problem))
