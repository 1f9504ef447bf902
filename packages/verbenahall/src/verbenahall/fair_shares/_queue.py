"""A queue in which workspaces take turns in proportion to their shares."""

import collections
import dataclasses
import itertools
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, Generic, Protocol, TypeVar, final

from verbenahall.fair_shares._virtual_times import VirtualTimes


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceBounds:
    """The weight of a workspace, and how many of its requests may wait.

    With ``queue`` 0 the limit of the lane applies.
    """

    share: float = 1
    queue: int = 0


Workspaces = Mapping[str, WorkspaceBounds]
NO_BOUNDS: Final[Workspaces] = MappingProxyType({})
DEFAULT_BOUNDS: Final = WorkspaceBounds()


class Waiter(Protocol):
    """What a queue has to know of a request that waits in it."""

    @property
    def workspace(self) -> str:
        """The workspace whose share it uses."""

    @property
    def deadline(self) -> float:
        """When it expires, in monotonic seconds."""


_Ticket = TypeVar('_Ticket', bound=Waiter)


@final
class FairQueue(Generic[_Ticket]):
    """The waiting tickets of one priority, first in first out by workspace.

    The virtual time of a workspace advances by 1 / share for each ticket
    served. So workspaces are served in proportion to their shares, regardless
    of the number of requests that each sends.
    """

    __slots__ = ('waiting', 'times', 'size')

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: dict[str, collections.deque[_Ticket]] = {}
        self.times = VirtualTimes()
        self.size = 0

    def push(self, ticket: _Ticket) -> None:
        """Add a ticket behind those of its workspace."""
        backlog = self.waiting.get(ticket.workspace)
        if backlog is None:
            backlog = collections.deque()
            self.waiting[ticket.workspace] = backlog
            self.times.enter(ticket.workspace)
        backlog.append(ticket)
        self.size += 1

    def pop(self, workspaces: Workspaces) -> _Ticket:
        """Remove the oldest ticket of the workspace that is served next."""
        workspace = self.times.find_next(self.waiting)
        self.times.advance((workspace,))
        share = workspaces.get(workspace, DEFAULT_BOUNDS).share
        self.times.charge(workspace, 1, share)
        ticket = self.waiting[workspace].popleft()
        self._account_removal(workspace)
        return ticket

    def pop_newest(self, workspace: str = '') -> _Ticket:
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

    def remove(self, ticket: _Ticket) -> bool:
        """Remove a ticket; return False if it is not in the queue."""
        backlog = self.waiting.get(ticket.workspace)
        if backlog is None or ticket not in backlog:
            return False
        backlog.remove(ticket)
        self._account_removal(ticket.workspace)
        return True

    def pop_expired(self, now: float) -> list[_Ticket]:
        """Remove the tickets whose deadline has passed."""
        backlogs = self.waiting.values()
        tickets = itertools.chain.from_iterable(backlogs)
        expired = [ticket for ticket in tickets if ticket.deadline <= now]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def pop_expiring(self, now: float, ticket_s: float) -> list[_Ticket]:
        """Remove the tickets that would start after their deadline.

        ``ticket_s`` is the time in which one ticket is served, in seconds.
        Workspaces are assumed to alternate, whatever their shares.
        """
        round_s = ticket_s * len(self.waiting)
        expiring: list[_Ticket] = []
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
            self.times.remove(workspace)
