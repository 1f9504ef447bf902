"""Messages of the administration API."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the instance takes requests, and if not, why not."""

    ready: bool
    reason: str = ''


#: Says how ready the instance is at this moment.
ReadinessSource = Callable[[], Readiness]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """One instance as it sees itself.

    ``settings_position`` is the offset of the last settings record that was
    applied, ``log_position`` the offset up to which every record was;
    ``log_head`` is -1 and ``settings_age_s`` (seconds since the log last
    answered) is ``None`` before its first answer.
    """

    name: str
    data_centre: str
    incarnation: str
    ready: bool
    reason: str
    settings_position: int
    log_position: int
    log_head: int
    settings_age_s: float | None
