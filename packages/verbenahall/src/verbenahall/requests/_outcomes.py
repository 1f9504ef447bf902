"""How an attempt may fail."""

import dataclasses
from typing import Union

from verbenahall.requests._hindrances import (
    Limited,
    Quarantined,
    Unauthorized,
)


@dataclasses.dataclass(frozen=True, slots=True)
class NeverWritten:
    """No byte of the request left this instance."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unprepared:
    """A step before the request failed; the request itself was not sent.

    Unlike ``NeverWritten`` the failed step reached an endpoint.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint said that it has not started the request."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Bytes were written, and no whole answer came back.

    ``answered`` means that the endpoint lives all the same: it said itself
    that it failed.
    """

    detail: str
    answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The caller's deadline passed after bytes were written."""


Outcome = Union[
    NeverWritten,
    Unprepared,
    Refused,
    Quarantined,
    Limited,
    Unauthorized,
    Broken,
    TimedOut,
]
