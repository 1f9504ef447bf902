"""The datagrams by which instances keep an endpoint's rate together."""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

#: How every message begins; other datagrams need not be decoded to be told.
_BEGINNING: Final = b'{"throttle":'


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A send that waits for its turn, for ``longest_s`` seconds at most.

    ``endpoint`` names the endpoint's start and ``rate`` the requests a second
    that it takes, as far as the sender knows.
    """

    key: int
    endpoint: str
    rate: float
    longest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The send may leave after ``wait_s`` seconds."""

    key: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """The send may not leave; another one might after ``wait_s`` seconds."""

    key: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RateNotice:
    """The rate that an endpoint names, 0 when it names none any more."""

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
    """Decode a message; Nothing when it is something else."""
    if not datagram.startswith(_BEGINNING):
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
        raise ValueError('a rate is positive')
    return number


_READERS: Final[Mapping[str, _Reader]] = MappingProxyType(
    {
        'ask': _read_request,
        'permit': _read_permit,
        'denial': _read_denial,
        'rate': _read_notice,
    },
)
