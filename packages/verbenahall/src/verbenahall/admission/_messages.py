"""What admission is asked and what it decides."""

import dataclasses
from typing import Final

from verbenahall.errors import Problem

FLAG_PRIORITY: Final = 0
LOWEST_PRIORITY: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """One request that wants to run; ``deadline`` is in monotonic seconds."""

    request: str
    priority: int
    workspace: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """Requests that may run now, and those given up with the reason."""

    admitted: tuple[Ticket, ...] = ()
    given_up: tuple[tuple[Ticket, Problem], ...] = ()
