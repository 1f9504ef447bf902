"""Whether the store answers this instance, and the age of its records."""

import dataclasses
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.roster import STORE_RECOVERY_S, record_store_outage

#: How long after an answer the store counts as reachable, in seconds: the
#: pause after changes, a poll, and the time for its answer.
_REACHABLE_S: Final = 1.8


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Where a record came from, and how old it is at most.

    ``source`` is ``store`` or ``peer``. ``before`` is a time at which the
    store did not hold the record yet, None if the store has been unreachable
    since.
    """

    source: str
    age_s: float
    before: float | None


@final
class StoreReachability:
    """Results of the calls to the store for one topic."""

    __slots__ = (
        'answered_at',
        '_is_unreachable',
        '_core',
        '_freshness',
        '_topic',
    )

    def __init__(self, core: Core, topic: str) -> None:
        """Start without an answer."""
        self.answered_at = -float('inf')
        self._is_unreachable = False
        self._core = core
        self._freshness = core.freshness[topic]
        self._topic = topic

    def is_reachable(self, now: float) -> bool:
        """Whether the store has answered within ``_REACHABLE_S``."""
        return now - self.answered_at < _REACHABLE_S

    def has_failed_lately(self, now: float) -> bool:
        """Whether a call of this instance failed within ``STORE_RECOVERY_S``.

        Failures that peers report don't count: otherwise two followers would
        keep reporting the same failure to each other for ever.
        """
        return now - self._freshness.failed_at < STORE_RECOVERY_S

    def describe_source(self, source: str) -> Received:
        """Return the source and the age of records that arrive now."""
        freshness = self._freshness
        age_s = freshness.find_age(self._core.now())
        is_outdated = freshness.has_failed or age_s >= freshness.usable_s
        return Received(
            source,
            age_s,
            None if is_outdated else freshness.confirmed_at,
        )

    def record_answer(self) -> None:
        """Record that the store answered."""
        self.answered_at = self._core.now()
        if self._is_unreachable:
            self._is_unreachable = False
            journal.write_decision('store_regained', topic=self._topic)

    def record_failure(self, reason: str) -> None:
        """Record that a call failed; only the first in a row is logged."""
        self.answered_at = -float('inf')
        now = self._core.now()
        self._freshness.record_failure(now)
        record_store_outage(self._core.roster, now)
        if not self._is_unreachable:
            self._is_unreachable = True
            journal.write_decision(
                'store_lost',
                topic=self._topic,
                reason=reason,
            )
