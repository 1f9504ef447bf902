"""Messages of the administration API."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the instance takes requests, and if not, why not."""

    ready: bool
    reason: str = ''


#: Returns the current readiness of the instance.
ReadinessSource = Callable[[], Readiness]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The status of one instance.

    ``settings_position`` is the offset of the last applied settings record,
    and ``log_position`` the offset up to which all records were applied.
    ``settings_age_s`` is the time since the last answer of the log. Before the
    first answer it is ``None``, and ``log_head`` is -1.
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
