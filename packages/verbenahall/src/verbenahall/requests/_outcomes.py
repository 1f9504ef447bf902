"""The outcomes of failed attempts."""

import dataclasses
from typing import Union

from verbenahall.requests._not_sent import (
    BackingOff,
    Limited,
    Quarantined,
    Stopping,
    Unauthorized,
)


@dataclasses.dataclass(frozen=True, slots=True)
class NeverWritten:
    """No byte of the request left this instance."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unprepared:
    """A step before the request failed, so the request was not sent.

    Unlike with ``NeverWritten``, the failed step reached an endpoint.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint answered that it has not started the request.

    ``backoff_s`` is how long it wants no further request, 0 if it states none.
    """

    status: int
    backoff_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Bytes were written, and no complete answer was received.

    ``answered`` means that the endpoint itself reported the failure, so it is
    still alive. ``silent`` means that it was not waited for any longer.
    """

    detail: str
    answered: bool = False
    silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Nothing was received for a while; the attempt is still open.

    ``executes`` is false for a step that doesn't execute the request.
    """

    executes: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The caller's deadline passed after bytes were written."""


Outcome = Union[
    NeverWritten,
    Unprepared,
    Refused,
    Quarantined,
    Limited,
    BackingOff,
    Stopping,
    Unauthorized,
    Broken,
    Silent,
    TimedOut,
]

#: Outcomes of attempts at which no byte was sent to an endpoint.
NotSent = Union[
    NeverWritten, Quarantined, Limited, BackingOff, Stopping, Unauthorized
]
