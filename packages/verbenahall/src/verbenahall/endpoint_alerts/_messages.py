"""Alerts about endpoints that an instance does not reach."""

import dataclasses
import enum
import errno
from typing import Any, Final, final

import aiohttp
from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.roster import Incarnation

#: First bytes of every alert, by which other datagrams are recognised without
#: being decoded.
_PREFIX: Final = b'{"type":"endpoint_alert"'
#: Decimal places of an age in seconds, that is milliseconds.
_AGE_DIGITS: Final = 3
#: Errors of the kernel for a host that doesn't acknowledge packets.
_NO_ACK_ERRNOS: Final = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH))


@final
class Why(enum.Enum):
    """What an instance has found out about an endpoint.

    Nothing listens at its address, or connecting or an acknowledgement timed
    out, which may be due to the network, or a probe has reached it again.
    """

    REFUSED = 'refused'
    DARK = 'dark'
    REACHED = 'reached'


@dataclasses.dataclass(frozen=True, slots=True)
class Alert:
    """What an instance has found out about an incarnation of an endpoint.

    It did so ``age_s`` seconds ago, and ``data_centre`` is its own.
    ``relayed`` is whether a peer in the receiver's data centre has passed the
    alert on.
    """

    service: str
    incarnation: Incarnation
    why: Why
    age_s: float
    data_centre: str
    relayed: bool = False


def encode(alert: Alert) -> bytes:
    """Encode an alert for a datagram."""
    name, born = alert.incarnation
    return wire.encode(
        {
            'type': 'endpoint_alert',
            'service': alert.service,
            'name': name,
            'born': born,
            'why': alert.why.value,
            'at': round(alert.age_s, _AGE_DIGITS),
            'dc': alert.data_centre,
            'relayed': alert.relayed,
        },
    )


def decode(datagram: bytes) -> Maybe[Alert]:
    """Decode a datagram; Nothing if it is not a valid alert."""
    if not datagram.startswith(_PREFIX):
        return Nothing
    match wire.decode_table(datagram):
        case Success(
            {
                'service': str(service),
                'name': str(name),
                'born': int(born),
                'why': str(why),
                'at': int() | float() as age_s,
                'dc': str(data_centre),
                'relayed': bool(relayed),
            }
        ) if age_s >= 0:
            return _find_why(why).map(
                lambda found: Alert(
                    service, (name, born), found, age_s, data_centre, relayed
                )
            )
        case _:
            return Nothing


def classify_cause(cause: BaseException) -> Why | None:
    """Return what a failure to reach an endpoint says, None if nothing.

    Other failures, such as a missing route, are those of this instance.
    """
    if isinstance(cause, aiohttp.ClientConnectorError):
        cause = cause.os_error
    match cause:
        case ConnectionRefusedError():
            return Why.REFUSED
        case TimeoutError():
            return Why.DARK
        case OSError(errno=number) if number in _NO_ACK_ERRNOS:
            return Why.DARK
        case _:
            return None


def _find_why(text: Any) -> Maybe[Why]:
    try:
        return Some(Why(text))
    except ValueError:
        return Nothing
