"""Lease records, grants, and the steps that a candidate may take."""

import dataclasses
import enum
from types import MappingProxyType
from typing import Any, Final, Union, final

from returns.maybe import Maybe, Nothing, Some

#: Longest lease that a record may request, in seconds. With a longer one a
#: scope could not be claimed for hours after its holder was killed.
_MAX_LEASE_S: Final = 3600.0


@final
class LeaseVerb(enum.Enum):
    """Operation of a record of the authority stream."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Decoded body of a record of the authority stream.

    ``after`` is the offset of the scope's last accepted record that the
    author had read. The record is accepted only if no other record of the
    scope has been accepted since.
    """

    verb: LeaseVerb
    scope: str
    holder: str
    after: int
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """State of the lease on one scope, as folded from the log.

    ``token`` is the fencing token: the offset of the accepted claim, or 0
    while the scope is free. ``last`` is the offset of the last accepted
    record and ``after`` is that record's own ``after``. ``clean`` is true if
    the previous holder released the scope, or if there was none.
    """

    holder: str
    token: int
    last: int
    after: int
    lease_s: float
    clean: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations in seconds; ``clock_rate`` is a share.

    A clock may run fast or slow by ``clock_rate``. So the holder shortens
    its lease by that share, and other candidates lengthen their wait by it.
    """

    lease_s: float
    margin_s: float
    clock_rate: float = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Append a claim after offset ``after``."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Append a renewal after offset ``after``."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Append a release after offset ``after``."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """Wait until ``until``, in monotonic seconds."""

    until: float


Step = Union[Claim, Renew, Release, Idle]

_VERBS: Final = MappingProxyType(
    {
        Claim: LeaseVerb.CLAIM,
        Renew: LeaseVerb.RENEW,
        Release: LeaseVerb.RELEASE,
    },
)


def encode_step(
    step: Claim | Renew | Release,
    scope: str,
    holder: str,
    lease_s: float,
) -> dict[str, Any]:
    """Return the record body for a step."""
    return {
        'kind': _VERBS[type(step)].value,
        'scope': scope,
        'holder': holder,
        'after': step.after,
        'lease_s': lease_s,
    }


def decode_body(body: dict[str, Any]) -> Maybe[LeaseRecord]:
    """Decode a record body; return Nothing if it is malformed.

    The check is strict and depends on the body alone, so that every instance
    accepts or drops the same records and their folds stay equal.
    """
    try:
        record = LeaseRecord(
            verb=LeaseVerb(body['kind']),
            scope=body['scope'],
            holder=body['holder'],
            after=body['after'],
            lease_s=body['lease_s'],
        )
    except (KeyError, TypeError, ValueError):
        return Nothing
    return Some(record) if _is_valid(record) else Nothing


def _is_valid(record: LeaseRecord) -> bool:
    names = (record.scope, record.holder)
    if not all(isinstance(name, str) and name for name in names):
        return False
    numbers = (record.after, record.lease_s)
    if any(isinstance(number, bool) for number in numbers):
        return False
    if not isinstance(record.after, int):
        return False
    if not isinstance(record.lease_s, int | float):
        return False
    return 0 < record.lease_s <= _MAX_LEASE_S
