"""Estimates how long a caller has waited in earlier attempts."""

from typing import Final, final

#: A caller counts as returning if the wait that it states is shorter than the
#: longest one on its route by a share of that within these bounds. The waits of
#: first-time callers differ, too; with a smaller share some would count as past
#: their objective on arrival. One that returns has been refused with a
#: Retry-After of up to a third of its wait, and jitter; a caller with a shorter
#: wait than that has another deadline.
_MIN_WAITED_SHARE: Final = 0.25
_MAX_WAITED_SHARE: Final = 0.45
#: How long the longest wait is kept at least, in seconds. Callers with long
#: deadlines may have gone since.
_RETENTION_S: Final = 30.0


@final
class EarlierWaits:
    """The longest waits that the callers of each route have stated lately."""

    __slots__ = ('_current', '_previous', '_since')

    def __init__(self) -> None:
        """Start without callers."""
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._since = -float('inf')

    def estimate(self, route: str, wait_s: float, now: float) -> float:
        """Return how long a caller has waited that states a wait, in seconds.

        Callers of a route wait for about the same time, and a returning caller
        states a shorter wait than the longest one seen.
        """
        if now - self._since > _RETENTION_S:
            self._previous = self._current
            self._current = {}
            self._since = now
        longest = max(
            self._current.get(route, 0), self._previous.get(route, 0), wait_s
        )
        self._current[route] = max(self._current.get(route, 0), wait_s)
        share = 1 - wait_s / longest if longest else 0
        returning = _MIN_WAITED_SHARE < share < _MAX_WAITED_SHARE
        return longest - wait_s if returning else 0
