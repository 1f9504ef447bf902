"""The waiting requests of one priority, and who is ahead of whom."""

import bisect
import functools
import operator
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Final, final

from verbenahall.fair_shares._queue import DEFAULT_BOUNDS, Workspaces
from verbenahall.fair_shares._virtual_times import VirtualTimes

if TYPE_CHECKING:
    from verbenahall.placement import QueuedRequest

#: Callers at most that are kept for each priority.
_MAX_CALLERS: Final = 4096
_NEVER: Final = float('inf')


@final
class Backlog:
    """The waiting requests of a workspace, in the order of its share.

    ``ordered`` has those on time first, and lets callers take turns.
    ``tokens_before`` are the tokens of the requests before each of them,
    ``starts`` the virtual times of their callers at their start. ``callers``
    are those that wait, and ``within`` is how many requests are not marked.
    From ``next_late_at`` on, the order has to be computed again.
    """

    __slots__ = (
        'callers',
        'next_late_at',
        'ordered',
        'starts',
        'tokens_before',
        'within',
    )

    def __init__(self) -> None:
        """Start empty."""
        self.callers: frozenset[str] = frozenset()
        self.next_late_at = _NEVER
        self.ordered: list[QueuedRequest] = []
        self.starts: list[float] = []
        self.tokens_before: list[int] = []
        self.within = 0

    def add(self, pending: 'QueuedRequest') -> None:
        """Add a request that has begun to wait."""
        self.ordered.append(pending)

    def remove(self, pending: 'QueuedRequest') -> None:
        """Remove a request that no longer waits."""
        self.ordered.remove(pending)

    def sort(
        self, callers: VirtualTimes, token_cost: float, now: float
    ) -> None:
        """Compute the order; ``token_cost`` is the stored cost of a token."""
        by_caller: dict[str, list[QueuedRequest]] = {}
        for pending in self.ordered:
            by_caller.setdefault(pending.source.caller, []).append(pending)
        self._update_callers(callers, frozenset(by_caller))
        turns: list[tuple[float, QueuedRequest]] = []
        for caller, requests in by_caller.items():
            if len(requests) > 1:
                requests.sort(key=functools.partial(_rank_own, now))
            start = callers.passes[caller]
            for one in requests:
                turns.append((start, one))
                start += count_unshared(one) * token_cost
        if len(by_caller) > 1:
            turns.sort(key=operator.itemgetter(0))
        self._set_order(turns, now)

    def mark(self, within: int) -> None:
        """Mark all requests but the first ``within`` ones."""
        for index, pending in enumerate(self.ordered):
            pending.beyond_share = index >= within
        self.within = within

    def _update_callers(
        self, times: VirtualTimes, callers: frozenset[str]
    ) -> None:
        for caller in callers - self.callers:
            times.enter(caller)
        times.advance(callers)
        self.callers = callers

    def _set_order(
        self, turns: Sequence[tuple[float, 'QueuedRequest']], now: float
    ) -> None:
        self.ordered = [one for _, one in turns]
        self.starts = [start for start, _ in turns]
        self.tokens_before = []
        self.next_late_at = _NEVER
        total = 0
        for one in self.ordered:
            one.beyond_share = False
            self.tokens_before.append(total)
            total += count_unshared(one)
            late_at = one.due_at - one.expected_first_s
            if now < late_at < self.next_late_at and len(turns) > 1:
                self.next_late_at = late_at
        self.within = len(turns)


@final
class Level:
    """The virtual times and the waiting requests of one priority.

    ``waiting`` has the workspaces with waiting requests. ``tokens`` and
    ``count`` are the sums over these requests. The order of those in ``dirty``
    has to be computed again, and that of all from ``next_late_at`` on.
    """

    __slots__ = (
        'callers',
        'count',
        'dirty',
        'next_late_at',
        'tokens',
        'waiting',
        'workspaces',
    )

    def __init__(self) -> None:
        """Start without workspaces."""
        self.callers: dict[str, VirtualTimes] = {}
        self.count = 0
        self.dirty: set[str] = set()
        self.next_late_at = _NEVER
        self.tokens = 0
        self.waiting: dict[str, Backlog] = {}
        self.workspaces = VirtualTimes()

    def find_callers(self, workspace: str) -> VirtualTimes:
        """Return the virtual times of the callers of a workspace."""
        callers = self.callers.get(workspace)
        if callers is None:
            callers = VirtualTimes()
            self.callers[workspace] = callers
        return callers

    def add(self, workspace: str, pending: 'QueuedRequest') -> None:
        """Add a request that has begun to wait."""
        backlog = self.waiting.get(workspace)
        if backlog is None:
            backlog = Backlog()
            self.waiting[workspace] = backlog
            self.workspaces.enter(workspace)
        backlog.add(pending)
        self.dirty.add(workspace)
        self.count += 1
        self.tokens += count_unshared(pending)

    def discard(self, workspace: str, pending: 'QueuedRequest') -> None:
        """Remove a request that no longer waits."""
        backlog = self.waiting[workspace]
        backlog.remove(pending)
        self.dirty.add(workspace)
        if not backlog.ordered:
            self.waiting.pop(workspace)
        self.count -= 1
        self.tokens -= count_unshared(pending)

    def charge_caller(self, workspace: str, caller: str, cost: float) -> None:
        """Advance the virtual time of a caller within its workspace."""
        self.find_callers(workspace).charge(caller, cost)
        self.dirty.add(workspace)

    def sort(self, token_cost: float, now: float) -> None:
        """Compute the order of the workspaces whose requests have changed."""
        if now >= self.next_late_at:
            self.dirty.update(_list_late(self.waiting, now))
            times = [one.next_late_at for one in self.waiting.values()]
            self.next_late_at = min(
                (time for time in times if time > now), default=_NEVER
            )
        for name in self.dirty & self.waiting.keys():
            backlog = self.waiting[name]
            backlog.sort(self.find_callers(name), token_cost, now)
            self.next_late_at = min(self.next_late_at, backlog.next_late_at)
        self.dirty.clear()

    def mark_callers(self, allowance: float) -> int:
        """Compare the callers of the only workspace that waits.

        Returns how many requests are beyond the share of their caller.
        """
        backlog = next(iter(self.waiting.values()))
        limit = backlog.starts[0] + allowance
        within = bisect.bisect_right(backlog.starts, limit)
        if len(backlog.callers) == 1:
            within = self.count
        if within != backlog.within:
            backlog.mark(within)
        return self.count - within

    def mark_workspaces(
        self, limit: float, tokens_by_cost: float, bounds: Workspaces
    ) -> int:
        """Mark the requests that start beyond a virtual time; count them.

        ``tokens_by_cost`` is the number of tokens that cost 1.
        """
        passes = self.workspaces.passes
        within_count = 0
        for name, backlog in self.waiting.items():
            lead = (limit - passes[name]) * tokens_by_cost
            if lead < 0:
                within = 0
            elif len(backlog.ordered) == 1:
                within = 1
            else:
                share = bounds.get(name, DEFAULT_BOUNDS).share
                within = bisect.bisect_right(
                    backlog.tokens_before, lead * share
                )
            if within != backlog.within:
                backlog.mark(within)
            within_count += within
        return self.count - within_count

    def forget_waiting(self) -> None:
        """Forget who waits; all have to be added again."""
        self.waiting.clear()
        self.count = 0
        self.tokens = 0

    def scale(self, factor: float) -> None:
        """Multiply all virtual times by a factor."""
        for times in (self.workspaces, *self.callers.values()):
            times.scale(factor)
        self.dirty.update(self.waiting)

    def prune(self, margin: float) -> None:
        """Remove what has no effect on later decisions."""
        self.workspaces.prune(margin, self.waiting.keys())
        kept = self.workspaces.passes.keys()
        for workspace, callers in tuple(self.callers.items()):
            backlog = self.waiting.get(workspace)
            callers.prune(margin, backlog.callers if backlog else ())
            if workspace not in kept or not callers.passes:
                self.callers.pop(workspace)
        counts = {
            name: len(times.passes) for name, times in self.callers.items()
        }
        while sum(counts.values()) > _MAX_CALLERS:
            # The callers of the workspace with most of them begin again side
            # by side.
            largest = max(counts, key=counts.__getitem__)
            counts.pop(largest)
            self.callers.pop(largest)
            self.dirty.add(largest)
            backlog = self.waiting.get(largest, Backlog())
            backlog.callers = frozenset()

    def remove(self, workspace: str) -> None:
        """Remove the virtual times of a workspace and its callers."""
        self.workspaces.remove(workspace)
        self.callers.pop(workspace, None)


def _list_late(waiting: Mapping[str, Backlog], now: float) -> list[str]:
    """Return the workspaces of which another request has become late."""
    return [
        name for name, backlog in waiting.items() if now >= backlog.next_late_at
    ]


def count_unshared(pending: 'QueuedRequest') -> int:
    """Return the tokens of a prompt that no other request shares.

    The engine time of a waiting request is taken to be in proportion to them:
    the other parts are mostly cached.
    """
    work = pending.placement_request.work
    return work.parts[-1].tokens if work.parts else work.prompt_tokens


def _rank_own(now: float, pending: 'QueuedRequest') -> tuple[bool, float]:
    return (pending.is_late(now), pending.due_at)
