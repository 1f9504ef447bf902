"""The share of traffic that retries may take."""

from typing import Final, final

_SHARE: Final = 0.2
_MOST_SAVED: Final = 20.0


@final
class RetryBudget:
    """A token bucket filled by requests and emptied by retries.

    Without it a fleet that fails under load is sent every request several
    times, and fails more. Each request saves ``share`` of a retry, up to
    ``most``; a retry takes one.
    """

    __slots__ = ('_share', '_most', '_saved')

    def __init__(
        self,
        share: float = _SHARE,
        most: float = _MOST_SAVED,
    ) -> None:
        """Start with a full bucket."""
        self._share = share
        self._most = most
        self._saved = most

    def earn(self) -> None:
        """Count a new request."""
        self._saved = min(self._most, self._saved + self._share)

    def spend(self, sends: int = 1) -> bool:
        """Take a retry of so many sends out; False when too few are left."""
        if self._saved < sends:
            return False
        self._saved -= sends
        return True
