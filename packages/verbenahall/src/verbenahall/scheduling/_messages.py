"""The datagrams between an instance that has a request and its scheduler."""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.placement import Part, Work

#: Names the kind of a message, and tells it from the words between peers.
_TYPE: Final = 'type'


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleRequest:
    """A model request that waits to be placed on engines of a group.

    ``key`` begins with the caller's identity of the request and is never used
    for another one, so that a copy is known as such. Times are seconds from
    the sending: ``due_s`` until the first event is late, ``leaves_s`` until
    the caller leaves without one, ``deadline_s`` until the whole answer is of
    no use any more. ``tried`` names the engines that have failed the request.
    """

    key: str
    service: str
    group: str
    work: Work
    gap_s: float
    priority: int
    due_s: float
    objective_s: float
    leaves_s: float
    deadline_s: float
    returning: bool = False
    tried: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; its scheduler will answer again."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The engines that a request is sent to now.

    ``prefill`` is empty when the decode engine reads the prompt itself.
    ``missing`` tokens are expected to be prefilled, the first event after
    ``wait_s``, of which ``ahead_s`` is for prefills that go before.
    """

    key: str
    prefill: str
    decode: str
    missing: int
    wait_s: float
    ahead_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The request cannot be served; ``kind`` is an error kind's word."""

    key: str
    kind: str
    message: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The instance schedules nothing now: it starts or stops."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """The prompt was prefilled; the call took ``seconds``."""

    key: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class FirstEvent:
    """The first event came ``seconds`` after the assignment.

    ``handover_s`` is the part of it since the decode engine was asked to go
    on with the KV cache, 0 when it has prefilled the prompt itself.
    """

    key: str
    seconds: float
    handover_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Nothing of the request is open at the engines any more.

    ``step_s`` is the step time seen in its stream, 0 if unknown, ``refused``
    the engine that took no work, if one did.
    """

    key: str
    step_s: float = 0
    refused: str = ''


Message = (
    ScheduleRequest
    | Queued
    | Assignment
    | Rejection
    | Declined
    | Prefilled
    | FirstEvent
    | Released
)
_Table = Mapping[str, Any]
_Reader = Callable[[_Table], Message]


def _read_request(table: _Table) -> ScheduleRequest:
    parts = tuple(
        Part(str(identity), int(tokens)) for identity, tokens in table['parts']
    )
    return ScheduleRequest(
        key=str(table['key']),
        service=str(table['service']),
        group=str(table['group']),
        work=Work(parts, int(table['prompt']), int(table['output'])),
        gap_s=float(table['gap_s']),
        priority=int(table['priority']),
        due_s=float(table['due_s']),
        objective_s=float(table['objective_s']),
        leaves_s=float(table['leaves_s']),
        deadline_s=float(table['deadline_s']),
        returning=bool(table['returning']),
        tried=tuple(map(str, table['tried'])),
    )


def _read_assignment(table: _Table) -> Assignment:
    return Assignment(
        key=str(table['key']),
        prefill=str(table['prefill']),
        decode=str(table['decode']),
        missing=int(table['missing']),
        wait_s=float(table['wait_s']),
        ahead_s=float(table['ahead_s']),
        reason=str(table['reason']),
    )


def _read_rejection(table: _Table) -> Rejection:
    return Rejection(
        key=str(table['key']),
        kind=str(table['kind']),
        message=str(table['message']),
        retry_after_s=float(table['retry_after_s']),
    )


def _read_first_event(table: _Table) -> FirstEvent:
    return FirstEvent(
        str(table['key']),
        float(table['seconds']),
        float(table['handover_s']),
    )


def _read_released(table: _Table) -> Released:
    return Released(
        str(table['key']),
        float(table['step_s']),
        str(table['refused']),
    )


_READERS: Final[Mapping[str, _Reader]] = MappingProxyType(
    {
        'schedule': _read_request,
        'queued': lambda table: Queued(str(table['key'])),
        'assignment': _read_assignment,
        'rejection': _read_rejection,
        'declined': lambda table: Declined(str(table['key'])),
        'prefilled': lambda table: Prefilled(
            str(table['key']),
            float(table['seconds']),
        ),
        'first_event': _read_first_event,
        'released': _read_released,
    },
)
_NAMES: Final[Mapping[type, str]] = MappingProxyType(
    {
        ScheduleRequest: 'schedule',
        Queued: 'queued',
        Assignment: 'assignment',
        Rejection: 'rejection',
        Declined: 'declined',
        Prefilled: 'prefilled',
        FirstEvent: 'first_event',
        Released: 'released',
    },
)


def encode(message: Message) -> bytes:
    """Encode a message for a datagram."""
    table = {
        field.name: getattr(message, field.name)
        for field in dataclasses.fields(message)
    }
    work = table.pop('work', None)
    if work is not None:
        table['parts'] = [(one.identity, one.tokens) for one in work.parts]
        table['prompt'] = work.prompt_tokens
        table['output'] = work.output_tokens
    return wire.encode({_TYPE: _NAMES[type(message)], **table})


def decode(datagram: bytes) -> Maybe[Message]:
    """Decode a datagram; Nothing when it is no message of this slice."""
    match wire.decode_table(datagram):
        case Success({'type': str(name), **table}) if name in _READERS:
            return _read(_READERS[name], table)
        case _:
            return Nothing


def _read(
    reader: _Reader,
    table: _Table,
) -> Maybe[Message]:
    try:
        return Some(reader(table))
    except (KeyError, TypeError, ValueError):
        return Nothing
