"""The backoffs that endpoints have requested from this instance."""

from collections.abc import Hashable
from typing import Final, final

#: Most unanswered sends to an endpoint directly after its backoff. Each request
#: that it accepts allows one more (slow start).
_FIRST_LIMIT: Final = 1
#: Limit at which the endpoint counts as recovered.
_RECOVERED_LIMIT: Final = 9
#: Time after the end of a backoff in which its record is kept if nothing is
#: sent to the endpoint, in seconds.
_RETENTION_S: Final = 60.0
#: Most records that are kept, more than an instance has endpoints.
_MAX_RECORDS: Final = 16_384


@final
class Backoff:
    """A backoff and the slow start after it.

    ``until`` is its end in monotonic seconds, ``limit`` the most unanswered
    sends after it, and ``unanswered`` their number now.
    """

    __slots__ = ('until', 'limit', 'unanswered')

    def __init__(self) -> None:
        """Start with a backoff that is over."""
        self.until = -float('inf')
        self.limit = _FIRST_LIMIT
        self.unanswered = 0


@final
class Trial:
    """A send in the slow start after a backoff that ended at ``until``.

    ``is_open`` is true until the endpoint has answered it or it has failed.
    """

    __slots__ = ('backoff', 'is_open', 'until')

    def __init__(self, backoff: Backoff) -> None:
        """Start unanswered."""
        self.backoff = backoff
        self.until = backoff.until
        self.is_open = True


@final
class BackoffTable:
    """The backoffs by incarnation of an endpoint, in order of their request.

    They bind this instance only, and outlast the removal of the endpoint's
    entry, since an entry that lapsed may return.
    """

    __slots__ = ('_backoffs',)

    def __init__(self) -> None:
        """Start without backoffs."""
        self._backoffs: dict[Hashable, Backoff] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has requested a backoff lately."""
        return not self._backoffs

    def begin_backoff(
        self, incarnation: Hashable, for_s: float, now: float
    ) -> None:
        """Send nothing to an endpoint for some seconds, as it has requested.

        A backoff that was requested before and lasts longer still applies.
        """
        self._remove_expired(now)
        backoff = self._backoffs.pop(incarnation, None) or Backoff()
        backoff.until = max(backoff.until, now + for_s)
        backoff.limit = _FIRST_LIMIT
        self._backoffs[incarnation] = backoff

    def find_left_s(self, incarnation: Hashable, now: float) -> float:
        """Return the rest of an endpoint's backoff in seconds, 0 for none."""
        backoff = self._backoffs.get(incarnation)
        return max(0, backoff.until - now) if backoff else 0

    def may_send(self, incarnation: Hashable, now: float) -> bool:
        """Whether neither a backoff nor the slow start after it forbids it."""
        backoff = self._backoffs.get(incarnation)
        if backoff is None:
            return True
        return now >= backoff.until and backoff.unanswered < backoff.limit

    def begin_trial(self, incarnation: Hashable) -> Trial | None:
        """Count a send if the endpoint is in its slow start, else None.

        The calling code must pass the trial to ``end_trial``.
        """
        backoff = self._backoffs.get(incarnation)
        if backoff is None:
            return None
        backoff.unanswered += 1
        return Trial(backoff)

    def end_trial(
        self,
        incarnation: Hashable,
        trial: Trial | None,
        *,
        accepted: bool = False,
    ) -> None:
        """End a trial; further calls have no effect.

        An accepted one has no effect on the limit if the endpoint has requested
        another backoff since the send.
        """
        if trial is None or not trial.is_open:
            return
        trial.is_open = False
        trial.backoff.unanswered -= 1
        is_current = self._backoffs.get(incarnation) is trial.backoff
        if accepted and is_current and trial.backoff.until == trial.until:
            trial.backoff.limit += 1
            if trial.backoff.limit >= _RECOVERED_LIMIT:
                self._backoffs.pop(incarnation)

    def _remove_expired(self, now: float) -> None:
        expired = [
            incarnation
            for incarnation, backoff in self._backoffs.items()
            if now - backoff.until > _RETENTION_S
        ]
        for incarnation in expired:
            self._backoffs.pop(incarnation)
        while len(self._backoffs) >= _MAX_RECORDS:
            self._backoffs.pop(next(iter(self._backoffs)))
