"""Schedules groups of engines for the instances that ask this one."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Final, final

from returns.maybe import Some

from verbenahall import journal
from verbenahall.catalog import Service
from verbenahall.gateway._assignments import Assignments
from verbenahall.gateway._core import Core
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
    decode,
    encode,
    expire,
    list_group,
    look,
    note,
    receive,
)

#: How often the queues are looked at beside the ends of prefills, in seconds:
#: what waits in vain is told so.
_LOOK_S: Final = 0.02
#: Shortest time between two looks at a queue, in seconds.
_PAUSE_S: Final = 0.005
#: How often assignments without an end are looked for, in seconds.
_EXPIRE_S: Final = 0.5

_Scope = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Due:
    """The next look at a queue."""

    at: float
    timer: asyncio.TimerHandle


@final
class Scheduler:
    """The groups that this instance schedules, by service and group."""

    __slots__ = (
        'stopping',
        '_core',
        '_due',
        '_looked_at',
        '_send',
        '_states',
    )

    def __init__(
        self,
        core: Core,
        send: Callable[[str, Message], None],
    ) -> None:
        """Answer by ``send``; ``stopping`` tells when nothing new is taken."""
        self.stopping: Callable[[], bool] = bool
        self._core = core
        self._send = send
        self._states: dict[_Scope, SchedulerState] = {}
        self._looked_at: dict[_Scope, float] = {}
        self._due: dict[_Scope, _Due] = {}

    async def run(self) -> None:
        """Forget what has no end, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRE_S)
            now = self._core.now()
            for state in self._states.values():
                expire(state, now)

    def take(self, request: ScheduleRequest, caller: str) -> None:
        """Take a request from the instance at an address."""
        service = self._list_services().get(request.service)
        if service is None or self.stopping():
            self._send(caller, Declined(request.key))
            return
        scope = (request.service, request.group)
        state = self._find_state(scope)
        now = self._core.now()
        fleet = self._describe_fleet(state, service, request.group)
        self._answer(
            receive(state, request, caller, fleet, now, self._core.random),
            state,
        )
        self._look_soon(scope)

    def note(self, progress: Prefilled | FirstEvent | Released) -> None:
        """Note how an assignment goes, and let others have its place."""
        for scope, state in self._states.items():
            if progress.key in state.assigned or progress.key in state.waiting:
                self._note(scope, state, progress)
                return

    def _find_state(self, scope: _Scope) -> SchedulerState:
        state = self._states.get(scope)
        if state is None:
            placement = self._core.placement.without_load()
            state = SchedulerState(placement, self._core.now())
            self._states[scope] = state
        return state

    def _note(
        self,
        scope: _Scope,
        state: SchedulerState,
        progress: Prefilled | FirstEvent | Released,
    ) -> None:
        service = self._list_services().get(scope[0])
        if service is None:
            return
        now = self._core.now()
        note(state, progress, service, now)
        if isinstance(progress, Released) and progress.refused:
            self._core.standings.note_refusal(progress.refused, now)
        self._look_soon(scope)

    def _look_soon(self, scope: _Scope, within_s: float = 0) -> None:
        """Look at a queue once for all that comes until then.

        A look costs about a millisecond. One for each datagram took all of a
        processor at the worst load, and answers came too late to be heard.
        """
        if not self._states[scope].queue.waiting:
            return
        now = self._core.now()
        last_at = self._looked_at.get(scope, now - _PAUSE_S)
        look_at = max(now + within_s, last_at + _PAUSE_S)
        due = self._due.get(scope)
        if due is not None and due.at <= look_at:
            return
        if due is not None:
            due.timer.cancel()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(look_at - now, self._look, scope)
        self._due[scope] = _Due(look_at, timer)

    def _look(self, scope: _Scope) -> None:
        self._due.pop(scope)
        state = self._states[scope]
        service = self._list_services().get(scope[0])
        if service is None:
            return
        now = self._core.now()
        self._looked_at[scope] = now
        fleet = self._describe_fleet(state, service, scope[1])
        self._answer(look(state, fleet, now, self._core.random), state)
        self._look_soon(scope, _LOOK_S)

    def _describe_fleet(
        self,
        state: SchedulerState,
        service: Service,
        group: str,
    ) -> Fleet:
        usable = self._core.list_usable(service.name, self._core.now())
        return Fleet(
            state.placement,
            list_group(group, usable),
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

    def _answer(self, replies: Iterable[Reply], state: SchedulerState) -> None:
        for reply in replies:
            self._tell(reply.message, state)
            self._send(reply.caller, reply.message)

    def _tell(self, message: Message, state: SchedulerState) -> None:
        """Write a line for each decision, with the load that led to it."""
        match message:
            case Assignment():
                journal.write_decision(
                    'assigned',
                    request=_read_identity(message.key),
                    prefill=message.prefill,
                    decode=message.decode,
                    ahead_s=journal.round_seconds(message.ahead_s),
                    wait_s=journal.round_seconds(message.wait_s),
                    reason=message.reason,
                    waiting=len(state.queue.waiting),
                    open=len(state.assigned),
                )
            case Rejection():
                journal.write_decision(
                    'rejected',
                    request=_read_identity(message.key),
                    reason=message.message,
                    retry_after_s=journal.round_seconds(message.retry_after_s),
                    waiting=len(state.queue.waiting),
                    open=len(state.assigned),
                )


def _read_identity(key: str) -> str:
    """Return the caller's identity of a request, with which its key begins."""
    return key.rsplit('/', 2)[0]


@final
class Scheduling:
    """Carries messages between this instance and schedulers, its own too."""

    __slots__ = ('assignments', 'scheduler', '_exchange', '_own')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Speak through the exchange between peers."""
        self._own = core.settings.peer_address
        self._exchange = exchange
        self.assignments = Assignments(core, self.send)
        self.scheduler = Scheduler(core, self.send)
        exchange.hear_other = self.receive_datagram

    def receive_datagram(self, datagram: bytes, sender: str) -> bool:
        """Take a datagram; False when it is of another kind."""
        match decode(datagram):
            case Some(message):
                self._dispatch(message, sender)
                return True
            case _:
                return False

    def send(self, address: str, message: Message) -> None:
        """Send a message; this instance's own ones need no datagram."""
        if address == self._own:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._dispatch, message, address)
        else:
            self._exchange.send(encode(message), address)

    def _dispatch(self, message: Message, sender: str) -> None:
        match message:
            case ScheduleRequest():
                self.scheduler.take(message, sender)
            case Prefilled() | FirstEvent() | Released():
                self.scheduler.note(message)
            case Queued() | Assignment() | Rejection() | Declined():
                self.assignments.receive(message, sender)
