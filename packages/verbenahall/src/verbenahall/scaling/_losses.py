"""Engines that have left although no order gave them back."""

import math
from typing import Final, final

from verbenahall.capacity import CapacityKind, Pool, Sizes

#: Time after the loss of its spot engines in which a data centre counts as one
#: of those that are without them at the same time, in seconds.
_RECLAIMED_S: Final = 10.0


@final
class EngineLosses:
    """Losses of engines; times are monotonic.

    ``last_at`` is the time of the last loss.
    """

    __slots__ = ('last_at', '_present', '_reclaimed_at')

    def __init__(self) -> None:
        """Start without known engines."""
        self.last_at = -math.inf
        self._present: Sizes = {}
        self._reclaimed_at: dict[Pool, float] = {}

    def record_present(
        self, present: Sizes, ordered: Sizes, now: float
    ) -> None:
        """Record the present sizes and the targets that were ordered."""
        for pool, before in self._present.items():
            engines = present.get(pool, 0)
            if engines < min(before, ordered.get(pool, before)):
                self.last_at = now
                if pool.kind is CapacityKind.SPOT and not engines:
                    self._reclaimed_at[pool] = now
        self._present = dict(present)

    def list_reclaimed(self, now: float) -> set[Pool]:
        """Return the spot pools that have lost all engines lately."""
        return {
            pool
            for pool, at in self._reclaimed_at.items()
            if now - at < _RECLAIMED_S and not self._present.get(pool, 0)
        }
