"""Why an attempt is not sent at all for now."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Nothing was sent: earlier sends of this request crashed endpoints.

    It may be sent again after ``left_s`` seconds.
    """

    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """Nothing was sent: the endpoint takes the next one after ``wait_s``."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unauthorized:
    """Nothing was sent: the request's API key is no longer in force."""
