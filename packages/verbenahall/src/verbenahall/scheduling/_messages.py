"""Datagrams between an instance with a request and its scheduler."""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.overflow import GroupStatus
from verbenahall.placement import (
    UNKNOWN_SOURCE,
    Part,
    RequestSource,
    Work,
)

#: Key for the kind of a message. Peer messages on the same socket don't have
#: it.
_TYPE: Final = 'type'
#: Keys of the fields of a request's source, in their order; short as each
#: request has them.
_SOURCE_KEYS: Final[Mapping[str, str]] = MappingProxyType(
    {
        'fingerprint': 'fp',
        'caller': 'caller',
        'workspace': 'ws',
        'route': 'route',
        'instance': 'origin',
        'data_centre': 'odc',
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleRequest:
    """A model request that is to be placed on engines of a group.

    ``key`` begins with the caller's identity of the request and is never
    reused, so that copies are recognized. Times are seconds from sending:
    ``due_s`` until the first event is past its objective, ``leaves_s`` until
    the caller leaves without one, ``deadline_s`` until the whole answer is of
    no use. ``tried`` names the engines that have failed the request,
    ``unavailable`` those that accept no requests of the instance. ``version``
    is the software version of the decode engine, None if any may serve, and
    ``source`` where the request comes from. ``spilled`` is the group that the
    request is sent past because it is near its limit, empty if there is none.
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
    unavailable: tuple[str, ...] = ()
    version: str | None = None
    source: RequestSource = UNKNOWN_SOURCE
    spilled: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued; the scheduler will answer again.

    ``status`` is that of the group, None from schedulers of earlier versions.
    """

    key: str
    status: GroupStatus | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The engines to which a request is sent now.

    ``prefill`` is empty when the decode engine prefills the prompt itself.
    ``missing`` is the expected number of tokens to prefill, ``wait_s`` the
    expected time to the first event, and ``ahead_s`` the part of it for
    prefills that go first.
    """

    key: str
    prefill: str
    decode: str
    missing: int
    wait_s: float
    ahead_s: float
    reason: str
    status: GroupStatus | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The request cannot be served; ``kind`` is the value of an ErrorKind."""

    key: str
    kind: str
    message: str
    retry_after_s: float
    status: GroupStatus | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The instance does not schedule the service.

    It starts or stops, or knows no such service.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prefilled:
    """The prompt was prefilled; the call to the engine took ``seconds``."""

    key: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class FirstEvent:
    """The first event came ``seconds`` after the assignment.

    ``handover_s`` is the part of it since the request to the decode engine to
    continue from the KV cache, 0 if that engine has prefilled the prompt
    itself.
    """

    key: str
    seconds: float
    handover_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The request has no open work at the engines any more.

    ``step_s`` is the decode step time measured in its stream, 0 if unknown,
    ``refused`` the name of the engine that refused the work, if one did, and
    ``failed`` that of the engine that refused or failed it.
    """

    key: str
    step_s: float = 0
    refused: str = ''
    failed: str = ''


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
_Parser = Callable[[_Table], Message]


def _parse_request(table: _Table) -> ScheduleRequest:
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
        # Instances of earlier versions do not send it.
        unavailable=tuple(map(str, table.get('unavailable', ()))),
        version=_read_version(table.get('version')),
        source=_parse_source(table),
        spilled=str(table.get('spilled', '')),
    )


def _parse_source(table: _Table) -> RequestSource:
    """Read the source, of which instances of earlier versions send nothing."""
    texts = (str(table.get(key, '')) for key in _SOURCE_KEYS.values())
    return RequestSource(*texts)


def _parse_status(table: _Table) -> GroupStatus | None:
    """Read the status, which schedulers of earlier versions do not send."""
    if 'pressure' not in table:
        return None
    taking = tuple(map(str, table.get('taking', ())))
    return GroupStatus(float(table['pressure']), taking)


def _read_version(found: Any) -> str | None:
    return None if found is None else str(found)


def _parse_assignment(table: _Table) -> Assignment:
    return Assignment(
        key=str(table['key']),
        prefill=str(table['prefill']),
        decode=str(table['decode']),
        missing=int(table['missing']),
        wait_s=float(table['wait_s']),
        ahead_s=float(table['ahead_s']),
        reason=str(table['reason']),
        status=_parse_status(table),
    )


def _parse_rejection(table: _Table) -> Rejection:
    return Rejection(
        key=str(table['key']),
        kind=str(table['kind']),
        message=str(table['message']),
        retry_after_s=float(table['retry_after_s']),
        status=_parse_status(table),
    )


def _parse_first_event(table: _Table) -> FirstEvent:
    return FirstEvent(
        str(table['key']),
        float(table['seconds']),
        float(table['handover_s']),
    )


def _parse_released(table: _Table) -> Released:
    return Released(
        str(table['key']),
        float(table['step_s']),
        str(table['refused']),
        # Instances of earlier versions do not send it.
        str(table.get('failed', '')),
    )


_PARSERS: Final[Mapping[str, _Parser]] = MappingProxyType(
    {
        'schedule': _parse_request,
        'queued': lambda table: Queued(str(table['key']), _parse_status(table)),
        'assignment': _parse_assignment,
        'rejection': _parse_rejection,
        'declined': lambda table: Declined(str(table['key'])),
        'prefilled': lambda table: Prefilled(
            str(table['key']),
            float(table['seconds']),
        ),
        'first_event': _parse_first_event,
        'released': _parse_released,
    },
)
_TYPE_NAMES: Final[Mapping[type, str]] = MappingProxyType(
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


def find_status(message: Message | None) -> GroupStatus | None:
    """Return the group's status in an answer, None if there is none."""
    match message:
        case Queued(status=status) | Assignment(status=status):
            return status
        case Rejection(status=status):
            return status
        case _:
            return None


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
    source = table.pop('source', None)
    if source is not None:
        table.update(_encode_source(source))
    if not table.get('spilled', True):
        table.pop('spilled')
    status = table.pop('status', None)
    if status is not None:
        table.update(pressure=status.pressure, taking=status.taking)
    return wire.encode({_TYPE: _TYPE_NAMES[type(message)], **table})


def _encode_source(source: RequestSource) -> Mapping[str, str]:
    """Return the keys of what is known of a source."""
    fields = {key: getattr(source, name) for name, key in _SOURCE_KEYS.items()}
    return {key: text for key, text in fields.items() if text}


def decode(datagram: bytes) -> Maybe[Message]:
    """Decode a datagram; Nothing if it is no valid scheduling message."""
    match wire.decode_table(datagram):
        case Success({'type': str(name), **table}) if name in _PARSERS:
            return _parse(_PARSERS[name], table)
        case _:
            return Nothing


def _parse(
    parser: _Parser,
    table: _Table,
) -> Maybe[Message]:
    try:
        return Some(parser(table))
    except (KeyError, TypeError, ValueError):
        return Nothing
