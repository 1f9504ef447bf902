"""Reasons for which an attempt is not sent."""

import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Not sent: endpoints crashed during earlier attempts of this request.

    The quarantine ends after ``left_s`` seconds.
    """

    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """Not sent: the endpoint accepts the next request after ``wait_s``."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BackingOff:
    """Not sent: the endpoint has requested a backoff from this instance.

    It ends after ``left_s`` seconds; 0 if it has ended, and the endpoint has
    not answered the first requests since.
    """

    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Not sent: the instance stops before the answer might be complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unauthorized:
    """Not sent: the request's API key is no longer valid."""


#: All of these.
HELD_BACK: Final = (Quarantined, Limited, BackingOff, Stopping, Unauthorized)
