"""Stride scheduling: the virtual times of those who share a capacity."""

from collections.abc import Collection
from typing import Final, final

#: Smallest share; one of 0 would block the queue of its holder for ever.
_MIN_SHARE: Final = 0.001


@final
class VirtualTimes:
    """The virtual time of each name that shares a capacity.

    It advances by the cost of what the name was served over its share, and the
    name with the lowest one is served next. ``current`` is the virtual time at
    which a name begins that has not waited before: without it, a name would
    collect credit while it sends nothing. For example::

        times = VirtualTimes()
        times.enter('press')
        times.charge('press', cost=2, share=0.5)
        assert times.passes['press'] == 4
    """

    __slots__ = ('current', 'passes')

    def __init__(self) -> None:
        """Start without names at the time 0."""
        self.current: float = 0
        self.passes: dict[str, float] = {}

    def enter(self, name: str) -> None:
        """Let a name begin to wait, at ``current`` unless it is ahead."""
        known = self.passes.get(name, self.current)
        self.passes[name] = max(known, self.current)

    def charge(self, name: str, cost: float, share: float = 1) -> None:
        """Advance the virtual time of a name by a cost over its share.

        A negative cost takes back an earlier charge, down to ``current``.
        """
        before = self.passes.get(name, self.current)
        stride = cost / max(share, _MIN_SHARE)
        after = before + stride
        self.passes[name] = max(after, min(before, self.current))

    def advance(self, waiting: Collection[str]) -> float:
        """Move ``current`` to the lowest of the waiting names; return that."""
        lowest = min(map(self.passes.__getitem__, waiting))
        self.current = max(self.current, lowest)
        return lowest

    def find_next(self, waiting: Collection[str]) -> str:
        """Return the waiting name that is served next."""
        return min(waiting, key=self.passes.__getitem__)

    def remove(self, name: str) -> None:
        """Remove a name; it would begin again at ``current``."""
        self.passes.pop(name, None)

    def prune(self, margin: float, waiting: Collection[str]) -> None:
        """Remove the names that would begin again at about the same time."""
        bound = self.current + margin
        for name, virtual_time in tuple(self.passes.items()):
            if virtual_time <= bound and name not in waiting:
                self.passes.pop(name)

    def scale(self, factor: float) -> None:
        """Multiply all times by a factor."""
        self.current *= factor
        for name in self.passes:
            self.passes[name] *= factor
