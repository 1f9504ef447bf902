"""Queues of one lane: a model, or a plain service."""

import collections
import dataclasses
import itertools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

from verbenahall.admission._messages import LOWEST_PRIORITY, Ticket
from verbenahall.admission._rates import RateMeter

#: A share of nothing would stop the workspace's queue for ever.
_LEAST_SHARE: Final = 0.001
_PRIORITIES: Final = LOWEST_PRIORITY + 1


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Bounds of a lane; ``flag_slots`` lie beyond ``slots``, for flags only."""

    slots: int
    flag_slots: int
    queue_per_priority: int
    queue_per_workspace: int
    queue_total: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceBounds:
    """A workspace's weight, and how many of its requests may wait.

    A ``queue`` of zero stands for the lane's own bound.
    """

    share: float = 1
    queue: int = 0


Workspaces = Mapping[str, WorkspaceBounds]
_NO_BOUNDS: Final[Workspaces] = MappingProxyType({})
_USUAL: Final = WorkspaceBounds()


@final
class FairQueue:
    """The waiting tickets of one priority, first in first out by workspace.

    ``passes`` is each workspace's virtual time: it moves by one over its
    share for each ticket served, and the least goes next, so workspaces are
    served in proportion to their shares however much each of them asks.
    """

    __slots__ = ('waiting', 'passes', 'virtual_time', 'size')

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: dict[str, collections.deque[Ticket]] = {}
        self.passes: dict[str, float] = {}
        self.virtual_time: float = 0
        self.size = 0

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind those of its workspace."""
        row = self.waiting.get(ticket.workspace)
        if row is None:
            row = collections.deque()
            self.waiting[ticket.workspace] = row
            self.passes[ticket.workspace] = self.virtual_time
        row.append(ticket)
        self.size += 1

    def pop(self, workspaces: Workspaces) -> Ticket:
        """Take the next ticket of the workspace that is furthest behind."""
        workspace = min(self.waiting, key=self.passes.__getitem__)
        self.virtual_time = self.passes[workspace]
        share = workspaces.get(workspace, _USUAL).share
        self.passes[workspace] += 1 / max(share, _LEAST_SHARE)
        ticket = self.waiting[workspace].popleft()
        self._settle(workspace)
        return ticket

    def pop_newest(self, workspace: str = '') -> Ticket:
        """Take the last ticket of a workspace, by default the longest row."""
        chosen = workspace or max(
            self.waiting,
            key=lambda name: len(self.waiting[name]),
        )
        ticket = self.waiting[chosen].pop()
        self._settle(chosen)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Take one ticket out; False when it does not wait here."""
        row = self.waiting.get(ticket.workspace)
        if row is None or ticket not in row:
            return False
        row.remove(ticket)
        self._settle(ticket.workspace)
        return True

    def pop_late(self, now: float) -> list[Ticket]:
        """Take out the tickets whose deadline has passed."""
        rows = self.waiting.values()
        tickets = itertools.chain.from_iterable(rows)
        late = [ticket for ticket in tickets if ticket.deadline <= now]
        for ticket in late:
            self.remove(ticket)
        return late

    def pop_hopeless(self, now: float, seconds_each: float) -> list[Ticket]:
        """Take out the tickets whose turn comes after their deadline.

        ``seconds_each`` is the time in which one ticket is served. Workspaces
        are taken to go in turn, whatever their shares.
        """
        seconds_a_round = seconds_each * len(self.waiting)
        hopeless: list[Ticket] = []
        for row in self.waiting.values():
            turn = now + seconds_each
            for ticket in row:
                if turn > ticket.deadline:
                    hopeless.append(ticket)
                else:
                    turn += seconds_a_round
        for ticket in hopeless:
            self.remove(ticket)
        return hopeless

    def count(self, workspace: str) -> int:
        """Return how many tickets of a workspace wait."""
        return len(self.waiting.get(workspace, ()))

    def _settle(self, workspace: str) -> None:
        self.size -= 1
        if not self.waiting[workspace]:
            self.waiting.pop(workspace)
            self.passes.pop(workspace)


@final
class AdmissionState:
    """One lane: what runs by priority, what waits, and how fast it drains.

    ``workspaces`` gives some of them other bounds. ``drained`` measures how
    many requests a second end while others wait, ``arrivals`` how many come,
    by priority.
    """

    __slots__ = (
        'limits',
        'queues',
        'running',
        'flags_running',
        'workspaces',
        'drained',
        'arrivals',
    )

    def __init__(
        self,
        limits: AdmissionLimits,
        workspaces: Workspaces = _NO_BOUNDS,
    ) -> None:
        """Start with nothing running."""
        self.limits = limits
        self.queues = tuple(FairQueue() for _ in range(_PRIORITIES))
        self.running: dict[str, Ticket] = {}
        self.flags_running = 0
        self.workspaces = workspaces
        self.drained = RateMeter()
        self.arrivals = tuple(RateMeter() for _ in range(_PRIORITIES))

    def bound_of(self, workspace: str) -> int:
        """Return how many requests of a workspace may wait here."""
        own = self.workspaces.get(workspace, _USUAL).queue
        return own or self.limits.queue_per_workspace

    @property
    def waiting(self) -> int:
        """How many tickets wait in all queues."""
        return sum(queue.size for queue in self.queues)
