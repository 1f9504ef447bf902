"""State of a lane: its queues, running requests and rates."""

import dataclasses
from typing import Final, final

from verbenahall.admission._messages import LOWEST_PRIORITY, Ticket
from verbenahall.admission._rates import RateMeter
from verbenahall.fair_shares import (
    DEFAULT_BOUNDS,
    NO_BOUNDS,
    FairQueue,
    Workspaces,
)

_PRIORITIES: Final = LOWEST_PRIORITY + 1


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of a lane.

    ``flag_slots`` are for flags only, in addition to ``slots``.
    """

    slots: int
    flag_slots: int
    queue_per_priority: int
    queue_per_workspace: int
    queue_total: int


@final
class AdmissionState:
    """State of one lane.

    ``workspaces`` has the bounds of workspaces that differ from the default.
    ``drain_rate`` measures the requests a second that end while others wait,
    ``arrival_rates`` those that arrive, by priority.
    """

    __slots__ = (
        'limits',
        'queues',
        'running',
        'flags_running',
        'workspaces',
        'drain_rate',
        'arrival_rates',
    )

    def __init__(
        self,
        limits: AdmissionLimits,
        workspaces: Workspaces = NO_BOUNDS,
    ) -> None:
        """Start with no running requests."""
        self.limits = limits
        self.queues = tuple(FairQueue[Ticket]() for _ in range(_PRIORITIES))
        self.running: dict[str, Ticket] = {}
        self.flags_running = 0
        self.workspaces = workspaces
        self.drain_rate = RateMeter()
        self.arrival_rates = tuple(RateMeter() for _ in range(_PRIORITIES))

    def find_queue_bound(self, workspace: str) -> int:
        """Return how many requests of a workspace may wait."""
        workspace_bound = self.workspaces.get(workspace, DEFAULT_BOUNDS).queue
        return workspace_bound or self.limits.queue_per_workspace

    @property
    def waiting(self) -> int:
        """Number of tickets in all queues."""
        return sum(queue.size for queue in self.queues)
