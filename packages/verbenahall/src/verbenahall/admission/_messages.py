"""Input and results of the admission decisions."""

import dataclasses
from typing import Final

from verbenahall.errors import Problem

FLAG_PRIORITY: Final = 0
LOWEST_PRIORITY: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that is to run; ``deadline`` is in monotonic seconds."""

    request: str
    priority: int
    workspace: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """Requests that may run now, and rejected ones with the reason."""

    admitted: tuple[Ticket, ...] = ()
    rejected: tuple[tuple[Ticket, Problem], ...] = ()
