"""Datagrams that instances exchange to enforce endpoints' rates."""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

#: First bytes of every message, by which other datagrams are recognised without
#: being decoded.
_PREFIX: Final = b'{"throttle":'


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for permission to send, after ``longest_s`` seconds at most.

    ``key`` identifies the request in its response. ``endpoint`` identifies the
    endpoint's incarnation, and ``rate`` is the rate that the sender has
    recorded for it, in requests a second.
    """

    key: int
    endpoint: str
    rate: float
    longest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send after ``wait_s`` seconds."""

    key: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """Refusal of a send; a permit would be available in ``wait_s`` seconds."""

    key: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RateNotice:
    """The rate that an endpoint advertises; 0 if it no longer has one."""

    endpoint: str
    rate: float


Message = PermitRequest | Permit | Denial | RateNotice

_KINDS: Final = MappingProxyType(
    {
        PermitRequest: 'ask',
        Permit: 'permit',
        Denial: 'denial',
        RateNotice: 'rate',
    },
)


_Reader = Callable[[Mapping[str, Any]], Message]


def encode(message: Message) -> bytes:
    """Encode a message."""
    kind = _KINDS[type(message)]
    return wire.encode({'throttle': kind, **dataclasses.asdict(message)})


def decode(datagram: bytes) -> Maybe[Message]:
    """Decode a message; Nothing if the datagram is not a valid one."""
    if not datagram.startswith(_PREFIX):
        return Nothing
    match wire.decode_table(datagram):
        case Success({'throttle': str(kind), **table}) if kind in _READERS:
            return _read(_READERS[kind], table)
        case _:
            return Nothing


def _read(
    reader: _Reader,
    table: Mapping[str, Any],
) -> Maybe[Message]:
    try:
        return Some(reader(table))
    except (KeyError, TypeError, ValueError):
        return Nothing


def _read_request(table: Mapping[str, Any]) -> PermitRequest:
    return PermitRequest(
        int(table['key']),
        str(table['endpoint']),
        _read_positive(table['rate']),
        float(table['longest_s']),
    )


def _read_permit(table: Mapping[str, Any]) -> Permit:
    return Permit(int(table['key']), float(table['wait_s']))


def _read_denial(table: Mapping[str, Any]) -> Denial:
    return Denial(int(table['key']), float(table['wait_s']))


def _read_notice(table: Mapping[str, Any]) -> RateNotice:
    rate = table['rate'] and _read_positive(table['rate'])
    return RateNotice(str(table['endpoint']), rate)


def _read_positive(found: Any) -> float:
    number = float(found)
    if number <= 0:
        raise ValueError('a rate must be positive')
    return number


_READERS: Final[Mapping[str, _Reader]] = MappingProxyType(
    {
        'ask': _read_request,
        'permit': _read_permit,
        'denial': _read_denial,
        'rate': _read_notice,
    },
)
