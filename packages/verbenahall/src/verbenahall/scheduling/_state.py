"""The state of a scheduler for one service in one group."""

import dataclasses
from typing import final

from verbenahall.fair_shares import ShareState
from verbenahall.overflow import GroupLoad
from verbenahall.placement import (
    InFlight,
    PlacementState,
    Plan,
    PrefillQueue,
    QueuedRequest,
)
from verbenahall.scheduling._messages import Assignment, Message


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A message to an instance in reply to its request.

    ``sender`` is the address of the instance that sent the request.
    """

    sender: str
    message: Message


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request in the queue, and the address of the instance that sent it.

    ``notified`` is true once that instance has been sent ``Queued``.
    """

    pending: QueuedRequest
    sender: str
    deadline: float
    notified: bool = False


@dataclasses.dataclass(slots=True)
class Assigned:
    """An assignment, and its open work at the engines until released."""

    waiting: Waiting
    plan: Plan
    answer: Assignment
    prefill: InFlight
    decode: InFlight


@final
class SchedulerState:
    """The queue, the open assignments, and their load."""

    __slots__ = (
        'assigned',
        'group_load',
        'placement',
        'queue',
        'shares',
        'started_at',
        'waiting',
    )

    def __init__(
        self,
        placement: PlacementState,
        started_at: float,
        shares: ShareState | None = None,
    ) -> None:
        """Start with nothing open; ``placement`` has no other open work.

        Without ``shares`` no workspaces are in force.
        """
        self.started_at = started_at
        self.placement = placement
        self.group_load = GroupLoad()
        self.queue = PrefillQueue()
        self.shares = shares or ShareState()
        self.waiting: dict[str, Waiting] = {}
        self.assigned: dict[str, Assigned] = {}
