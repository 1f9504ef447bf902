"""Whether the store answers this instance, and the age of its records."""

import dataclasses
from typing import Final, final

from verbenahall import journal
from verbenahall.clock import Clock
from verbenahall.roster import STORE_RECOVERY_S, Roster, record_store_outage
from verbenahall.store_relay._freshness import Freshness
from verbenahall.store_relay._spacing import StoreSpacing

#: How long after an answer the store counts as reachable, in seconds: the
#: pause after changes, a poll, and the time for its answer.
_REACHABLE_S: Final = 1.8
#: Shortest and longest wait for a call that may not begin yet, in seconds. The
#: wait is bounded because peers may stop confirming the topic meanwhile.
_MIN_WAIT_S: Final = 0.01
_MAX_WAIT_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Where a record came from, and how old it is at most.

    ``source`` is ``store`` or ``peer``. ``before`` is a time at which the
    store did not hold the record yet, None if the store has been unreachable
    since. ``has_returned`` is whether the store has returned from an older copy
    of late.
    """

    source: str
    age_s: float
    before: float | None
    has_returned: bool = False


@final
class StoreReachability:
    """Results of the calls to the store for one topic."""

    __slots__ = (
        'answered_at',
        'is_refused',
        'spacing',
        '_freshness',
        '_now',
        '_returned_at',
        '_roster',
        '_topic',
    )

    def __init__(
        self,
        topic: str,
        freshness: Freshness,
        roster: Roster,
        spacing: StoreSpacing,
        now: Clock,
    ) -> None:
        """Start without an answer; ``spacing`` is that of all topics."""
        self.answered_at = -float('inf')
        #: Whether the last call failed.
        self.is_refused = False
        self.spacing = spacing
        self._returned_at = -float('inf')
        self._freshness = freshness
        self._now = now
        self._roster = roster
        self._topic = topic

    def is_reachable(self, now: float) -> bool:
        """Whether the store has answered within ``_REACHABLE_S``."""
        return now - self.answered_at < _REACHABLE_S

    def begin_call(self) -> bool:
        """Whether a call may begin now, while calls may be spaced."""
        now = self._now()
        return self.spacing.begin_call(now, covered=self._is_covered(now))

    async def wait(self) -> None:
        """Wait until a call may begin, or the store has answered another."""
        now = self._now()
        wait_s = self.spacing.find_wait(now, covered=self._is_covered(now))
        await self.spacing.wait(min(max(wait_s, _MIN_WAIT_S), _MAX_WAIT_S))

    def has_failed_lately(self, now: float) -> bool:
        """Whether a call of this instance failed within ``STORE_RECOVERY_S``.

        Failures that peers report don't count: otherwise two followers would
        keep reporting the same failure to each other for ever.
        """
        return now - self._freshness.failed_at < STORE_RECOVERY_S

    def describe_source(self, source: str) -> Received:
        """Return the source and the age of records that arrive now."""
        freshness = self._freshness
        age_s = freshness.find_age(self._now())
        has_returned = self._now() - self._returned_at < STORE_RECOVERY_S
        is_outdated = freshness.has_failed or age_s >= freshness.usable_s
        return Received(
            source,
            age_s,
            None if is_outdated or has_returned else freshness.confirmed_at,
            has_returned,
        )

    def record_return(self) -> None:
        """Record that the store has returned from an older copy."""
        self._returned_at = self._now()
        record_store_outage(self._roster, self._returned_at)

    def record_answer(self) -> None:
        """Record that the store answered."""
        self.answered_at = self._now()
        self.spacing.record_answer()
        if self.is_refused:
            self.is_refused = False
            journal.write_decision('store_regained', topic=self._topic)

    def record_failure(self, reason: str) -> None:
        """Record that a call failed; only the first in a row is logged."""
        self.answered_at = -float('inf')
        now = self._now()
        self._freshness.record_failure(now)
        self.spacing.record_failure(now)
        record_store_outage(self._roster, now)
        if not self.is_refused:
            self.is_refused = True
            journal.write_decision(
                'store_lost',
                topic=self._topic,
                reason=reason,
            )

    def _is_covered(self, now: float) -> bool:
        """Whether peers confirm the topic, so that it is young enough."""
        return self._freshness.find_age(now) < self._freshness.usable_s
