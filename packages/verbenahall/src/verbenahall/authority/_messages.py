"""Messages of the authority slice: lease records, grants and steps."""

import dataclasses
import enum
from types import MappingProxyType
from typing import Any, Final, Union, final

from returns.maybe import Maybe, Nothing, Some

#: Longest lease that a record may ask for, in seconds. A longer one would
#: keep a scope closed for hours after its holder was killed.
_LONGEST_LEASE_S: Final = 3600.0


@final
class LeaseVerb(enum.Enum):
    """What a record of the authority stream asks for."""

    CLAIM = 'claim'
    RENEW = 'renew'
    RELEASE = 'release'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """One decoded record body of the authority stream.

    ``after`` is the offset of the scope's last accepted record as the author
    knew it; the record is accepted only if that is still the last one.
    """

    verb: LeaseVerb
    scope: str
    holder: str
    after: int
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What the log says about one scope.

    ``token`` is the offset of the claim that won, 0 while nobody holds the
    scope. ``last`` is the offset of the last accepted record and ``after``
    what that record named. ``clean`` says that the holder before this one
    released the scope, or that there was none.
    """

    holder: str
    token: int
    last: int
    after: int
    lease_s: float
    clean: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Lengths in seconds; ``clock_rate`` is a share.

    Two clocks may run apart by ``clock_rate`` each way, so the holder's lease
    is shorter by that share and the wait of everyone else longer.
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
    """Do nothing before ``until``, in monotonic seconds."""

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
    """Build the record body for a step."""
    return {
        'kind': _VERBS[type(step)].value,
        'scope': scope,
        'holder': holder,
        'after': step.after,
        'lease_s': lease_s,
    }


def decode_body(body: dict[str, Any]) -> Maybe[LeaseRecord]:
    """Decode a record body; Nothing if it does not have the right shape.

    A body that only some instances could decode would split their folds, so
    the check is strict and depends on the body alone.
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
    return Some(record) if _is_sound(record) else Nothing


def _is_sound(record: LeaseRecord) -> bool:
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
    return 0 < record.lease_s <= _LONGEST_LEASE_S
