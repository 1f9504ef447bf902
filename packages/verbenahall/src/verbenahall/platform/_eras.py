"""The era of the store: how often it has returned from an older copy."""

import re
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.clock import Clock, boottime

#: Largest era that is accepted. Positions of later ones are not exact in JSON.
_MAX_ERA: Final = 8191
_ERA: Final = re.compile('[0-9]{1,8}')
#: Characters of an odd era that are logged.
_MAX_LOGGED_CHARS: Final = 20


@final
class StoreEra:
    """The highest era that the store has stated, which never falls.

    ``current`` is 0 until an answer states an era. ``seen_at`` is when it was
    first seen, in seconds of a clock that advances during a suspension.
    ``has_risen`` is whether the store has returned since this instance first
    reached it. ``latest`` is the highest era that the store or a peer has
    stated; only the store's own answer makes it the current one.
    """

    __slots__ = (
        'current',
        'has_risen',
        'latest',
        'seen_at',
        '_now',
        '_odd_in',
    )

    def __init__(self, now: Clock = boottime) -> None:
        """Start without an era."""
        self.current = 0
        self.has_risen = False
        self.latest = 0
        self.seen_at = -float('inf')
        self._now = now
        #: The era in which each reason was logged last.
        self._odd_in: dict[str, int] = {}

    def record_reported(self, era: int) -> None:
        """Record the era that a peer states."""
        self.latest = max(self.latest, era)

    def read(self, stated: str | None, sent_in: int) -> int:
        """Return the era of an answer, and record a rise.

        ``sent_in`` is the current era when the call was sent. An answer that
        was overtaken by one of a later era is of the era that it states. An
        era that is missing, unreadable or has fallen is logged; such an answer
        counts as one of the current era.
        """
        era = _parse(stated)
        if era is None:
            reason = 'unreadable' if stated else 'missing'
            # A store without eras never states one.
            if stated or self.current:
                self._log_odd(reason, stated)
            return self.current
        if era > self.current:
            self._record_rise(era)
        elif era < sent_in:
            self._log_odd('fell', stated)
            return self.current
        return era

    def _record_rise(self, era: int) -> None:
        before = self.current
        if before and era > before + 1:
            # Returns while this instance did not reach the store.
            self._log_odd('jumped', str(era))
        self.current = era
        self.latest = max(self.latest, era)
        self.seen_at = self._now()
        if not before:
            return
        self.has_risen = True
        metrics.STORE_RETURNS.add()
        journal.write_decision('store_returned', era=era, before=before)

    def _log_odd(self, reason: str, stated: str | None) -> None:
        """Count an odd era; only the first of a reason in an era is logged."""
        metrics.ODD_ERAS.add(reason)
        if self._odd_in.get(reason) == self.current:
            return
        self._odd_in[reason] = self.current
        journal.write_decision(
            'era_odd',
            reason=reason,
            era=self.current,
            stated=(stated or '')[:_MAX_LOGGED_CHARS],
        )


def _parse(stated: str | None) -> int | None:
    """Return the era that a header states, None if it can't be read."""
    found = _ERA.fullmatch(stated or '')
    era = int(found.group()) if found else None
    return None if era is None or era > _MAX_ERA else era
