"""What an instance states about a request that it forwards."""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import Any, Final, final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

#: Header of a forwarded request, with a JSON object.
HOP_HEADER: Final = 'Verbenahall-Hop'
#: Header of a peer's answer: the software version whose events it holds.
VERSION_HEADER: Final = 'Verbenahall-Stream-Version'
#: Header of a refusal of the receiving instance, with its reason.
REFUSED_HEADER: Final = 'Verbenahall-Hop-Refused'
#: Upper bound of the number of runs that a hop may state.
_MAX_RUNS: Final = 1000


@final
class HopRefusal(enum.Enum):
    """Reasons for which an instance refuses a forwarded request."""

    INVALID = 'invalid'
    UNKNOWN_AUTHOR = 'unknown_author'
    STOPPING = 'stopping'
    OLD_SETTINGS = 'old_settings'
    UNREACHABLE = 'unreachable'
    TOO_MANY = 'too_many'
    NO_BUDGET = 'no_budget'


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """The state of a request at the instance that forwards it.

    ``author`` is that instance and ``version`` the version of its manifest.
    ``service`` is the request's service by that. ``runs`` is how often the
    request may have run, ``is_charged`` whether the author's retry budget was
    charged for this send, if it is a retry. ``is_counted`` is whether that
    budget counts the request, ``is_metered`` whether its usage is counted.
    ``waited_s`` is how long the caller has waited in earlier attempts, in
    seconds. ``stream_version`` is the software version of the events that the
    caller has, None if it has none.
    """

    author: str
    version: int
    service: str
    runs: int = 0
    is_charged: bool = True
    is_counted: bool = False
    is_metered: bool = False
    waited_s: float = 0
    stream_version: str | None = None


def encode_hop(hop: Hop) -> str:
    """Return the header value for a hop."""
    return wire.encode(
        {
            'from': hop.author,
            'version': hop.version,
            'service': hop.service,
            'runs': hop.runs,
            'charged': hop.is_charged,
            'counted': hop.is_counted,
            'metered': hop.is_metered,
            'waited': hop.waited_s,
            **_encode_version(hop),
        },
    ).decode()


def _encode_version(hop: Hop) -> Mapping[str, str]:
    if hop.stream_version is None:
        return {}
    return {'software': hop.stream_version}


def read_hop(headers: Mapping[str, str]) -> Maybe[Hop]:
    """Read the hop from a request's headers; Nothing if it is malformed."""
    return decode_hop(headers.get(HOP_HEADER, ''))


def decode_hop(text: str) -> Maybe[Hop]:
    """Decode a header value; Nothing if it is malformed."""
    match wire.decode_table(text.encode('utf-8', 'surrogateescape')):
        case Success(table):
            return _build_hop(table)
        case _:
            return Nothing


def _build_hop(table: Mapping[str, Any]) -> Maybe[Hop]:
    match table:
        case {
            'from': str(author),
            'version': int(version),
            'service': str(service),
            'runs': int(runs),
            'charged': bool(is_charged),
            'counted': bool(is_counted),
            'metered': bool(is_metered),
            'waited': int() | float() as waited_s,
        } if _is_in_range(runs, waited_s) and _is_text_or_absent(table):
            return Some(
                Hop(
                    author,
                    version,
                    service,
                    runs,
                    is_charged,
                    is_counted,
                    is_metered,
                    waited_s,
                    table.get('software'),
                )
            )
        case _:
            return Nothing


def _is_text_or_absent(table: Mapping[str, Any]) -> bool:
    """Whether the version is valid; earlier instances send none."""
    return isinstance(table.get('software', ''), str)


def _is_in_range(runs: int, waited_s: float) -> bool:
    return 0 <= runs <= _MAX_RUNS and 0 <= waited_s < math.inf
