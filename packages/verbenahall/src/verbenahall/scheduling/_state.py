"""What a scheduler keeps of one service in one group."""

import dataclasses
from typing import final

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
    """A message to the instance that ``caller`` names."""

    caller: str
    message: Message


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request in the queue, and who asked for it.

    ``told`` is whether the caller knows that it waits.
    """

    pending: QueuedRequest
    caller: str
    deadline: float
    told: bool = False


@dataclasses.dataclass(slots=True)
class Assigned:
    """An assignment and what it holds at the engines until released."""

    waiting: Waiting
    plan: Plan
    answer: Assignment
    prefill: InFlight
    decode: InFlight


@final
class SchedulerState:
    """The queue, the open assignments, and the load that they make."""

    __slots__ = ('assigned', 'placement', 'queue', 'since', 'waiting')

    def __init__(self, placement: PlacementState, since: float) -> None:
        """Start with nothing open; ``placement`` holds no load of others."""
        self.since = since
        self.placement = placement
        self.queue = PrefillQueue()
        self.waiting: dict[str, Waiting] = {}
        self.assigned: dict[str, Assigned] = {}
