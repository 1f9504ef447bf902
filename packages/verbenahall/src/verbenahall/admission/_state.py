"""State of a lane: its queues, running requests and rates."""

import collections
import dataclasses
import itertools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

from verbenahall.admission._messages import LOWEST_PRIORITY, Ticket
from verbenahall.admission._rates import RateMeter

#: A share of 0 would block the queue of a workspace for ever.
_MIN_SHARE: Final = 0.001
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


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceBounds:
    """The weight of a workspace, and how many of its requests may wait.

    With ``queue`` 0 the limit of the lane applies.
    """

    share: float = 1
    queue: int = 0


Workspaces = Mapping[str, WorkspaceBounds]
_NO_BOUNDS: Final[Workspaces] = MappingProxyType({})
_DEFAULT_BOUNDS: Final = WorkspaceBounds()


@final
class FairQueue:
    """The waiting tickets of one priority, first in first out by workspace.

    It uses stride scheduling: ``passes`` is the virtual time of each workspace,
    which advances by 1 / share for each ticket served. The workspace with the
    lowest virtual time is served next. So workspaces are served in proportion
    to their shares, regardless of the number of requests that each sends.
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
        backlog = self.waiting.get(ticket.workspace)
        if backlog is None:
            backlog = collections.deque()
            self.waiting[ticket.workspace] = backlog
            self.passes[ticket.workspace] = self.virtual_time
        backlog.append(ticket)
        self.size += 1

    def pop(self, workspaces: Workspaces) -> Ticket:
        """Remove the oldest ticket of the workspace that is served next."""
        workspace = min(self.waiting, key=self.passes.__getitem__)
        self.virtual_time = self.passes[workspace]
        share = workspaces.get(workspace, _DEFAULT_BOUNDS).share
        self.passes[workspace] += 1 / max(share, _MIN_SHARE)
        ticket = self.waiting[workspace].popleft()
        self._account_removal(workspace)
        return ticket

    def pop_newest(self, workspace: str = '') -> Ticket:
        """Remove the newest ticket of a workspace.

        By default that is the workspace with the most tickets.
        """
        chosen = workspace or max(
            self.waiting,
            key=lambda name: len(self.waiting[name]),
        )
        ticket = self.waiting[chosen].pop()
        self._account_removal(chosen)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return False if it is not in the queue."""
        backlog = self.waiting.get(ticket.workspace)
        if backlog is None or ticket not in backlog:
            return False
        backlog.remove(ticket)
        self._account_removal(ticket.workspace)
        return True

    def pop_expired(self, now: float) -> list[Ticket]:
        """Remove the tickets whose deadline has passed."""
        backlogs = self.waiting.values()
        tickets = itertools.chain.from_iterable(backlogs)
        expired = [ticket for ticket in tickets if ticket.deadline <= now]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def pop_expiring(self, now: float, ticket_s: float) -> list[Ticket]:
        """Remove the tickets that would start after their deadline.

        ``ticket_s`` is the time in which one ticket is served, in seconds.
        Workspaces are assumed to alternate, whatever their shares.
        """
        round_s = ticket_s * len(self.waiting)
        expiring: list[Ticket] = []
        for backlog in self.waiting.values():
            start_at = now + ticket_s
            for ticket in backlog:
                if start_at > ticket.deadline:
                    expiring.append(ticket)
                else:
                    start_at += round_s
        for ticket in expiring:
            self.remove(ticket)
        return expiring

    def count(self, workspace: str) -> int:
        """Return the number of waiting tickets of a workspace."""
        return len(self.waiting.get(workspace, ()))

    def _account_removal(self, workspace: str) -> None:
        self.size -= 1
        if not self.waiting[workspace]:
            self.waiting.pop(workspace)
            self.passes.pop(workspace)


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
        workspaces: Workspaces = _NO_BOUNDS,
    ) -> None:
        """Start with no running requests."""
        self.limits = limits
        self.queues = tuple(FairQueue() for _ in range(_PRIORITIES))
        self.running: dict[str, Ticket] = {}
        self.flags_running = 0
        self.workspaces = workspaces
        self.drain_rate = RateMeter()
        self.arrival_rates = tuple(RateMeter() for _ in range(_PRIORITIES))

    def find_queue_bound(self, workspace: str) -> int:
        """Return how many requests of a workspace may wait."""
        workspace_bound = self.workspaces.get(workspace, _DEFAULT_BOUNDS).queue
        return workspace_bound or self.limits.queue_per_workspace

    @property
    def waiting(self) -> int:
        """Number of tickets in all queues."""
        return sum(queue.size for queue in self.queues)
