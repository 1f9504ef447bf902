"""Decides when an instance refuses new connections, so that peers get them.

A balancer may send most new connections to one instance. What it reads and
cannot serve in time is lost to its caller, who would have been served by a peer
at once if the connection had been closed before the request was read.
"""

import math
from collections.abc import Collection
from typing import Final, final

#: Delay of the event loop from which on an instance is overloaded, and below
#: which it no longer is, in seconds. A processor quota stops a process for up
#: to 0.1 s at a time without any overload.
_OVERLOADED_S: Final = 0.15
_RELIEVED_S: Final = 0.05
#: New connections of an instance, as a multiple of what its peers have on
#: average, from which on peers could serve them instead. Where all instances
#: are overloaded alike, a refused caller would meet the same elsewhere.
_IMBALANCE_FACTOR: Final = 3.0
#: New connections per second up to which an instance refuses none: ten at once
#: in an otherwise calm instance, as a few callers open them after a stall.
_MIN_RATE: Final = 20.0
#: Time constant of the measured rate of new connections, in seconds.
_SMOOTHING_S: Final = 0.5


@final
class SheddingState:
    """The rate of new connections, and whether they are refused.

    ``rate`` is in connections per second, refused ones included, and
    ``is_refusing`` whether new ones are refused now.
    """

    __slots__ = ('is_refusing', 'rate', '_count', '_counted_at')

    def __init__(self, now: float) -> None:
        """Start without connections at a monotonic time."""
        self.is_refusing = False
        self.rate: float = 0
        self._count = 0
        self._counted_at = now

    def count_connection(self) -> None:
        """Count a new connection."""
        self._count += 1

    def update(
        self, late_s: float, peer_rates: Collection[float], now: float
    ) -> bool:
        """Update the state; return whether it has changed.

        ``late_s`` is by how much the event loop was late just now, in seconds,
        ``peer_rates`` are the rates of the peers whose rate is known.
        """
        self._update_rate(now)
        was_refusing = self.is_refusing
        limit_s = _RELIEVED_S if was_refusing else _OVERLOADED_S
        self.is_refusing = late_s > limit_s and self._is_imbalanced(peer_rates)
        return self.is_refusing is not was_refusing

    def is_overdue(self, late_s: float) -> bool:
        """Whether a delay of the event loop changes what is accepted."""
        return not self.is_refusing and late_s > _OVERLOADED_S

    def _update_rate(self, now: float) -> None:
        elapsed_s = max(now - self._counted_at, math.ulp(1))
        weight = 1 - math.exp(-elapsed_s / _SMOOTHING_S)
        self.rate += weight * (self._count / elapsed_s - self.rate)
        self._count = 0
        self._counted_at = now

    def _is_imbalanced(self, peer_rates: Collection[float]) -> bool:
        if not peer_rates:
            return False
        average = sum(peer_rates) / len(peer_rates)
        return self.rate > max(_MIN_RATE, average * _IMBALANCE_FACTOR)
