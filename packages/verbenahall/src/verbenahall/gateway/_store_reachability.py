"""Whether this instance is in touch with the store, and since when not."""

import dataclasses
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.roster import RETURN_S, note_cut_off

#: How long after an answer the store counts as in touch, in seconds: the rest
#: after changes, a poll, and what its answer may take.
_IN_TOUCH_S: Final = 1.8


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """How a record came: by which way, and how old it may be at most.

    ``before`` is when the store surely did not hold it yet, None if the store
    has been out of reach since.
    """

    source: str
    age_s: float
    before: float | None


@final
class StoreReachability:
    """What the calls for one topic tell of the store."""

    __slots__ = ('answered_at', '_away', '_core', '_freshness', '_topic')

    def __init__(self, core: Core, topic: str) -> None:
        """Start without an answer."""
        self.answered_at = -float('inf')
        self._away = False
        self._core = core
        self._freshness = core.freshness[topic]
        self._topic = topic

    def is_reachable(self, now: float) -> bool:
        """Tell whether the store has answered lately."""
        return now - self.answered_at < _IN_TOUCH_S

    def has_failed_lately(self, now: float) -> bool:
        """Tell whether own calls have failed within the time of a lapse.

        What peers tell of their calls does not count: two followers that
        pass it on would tell each other so for ever.
        """
        return now - self._freshness.failed_at < RETURN_S

    def describe_source(self, source: str) -> Received:
        """Describe records that come now, as far as their age is known."""
        known = self._freshness
        age_s = known.find_age(self._core.now())
        has_failed_lately = known.has_failed or age_s >= known.usable_s
        return Received(
            source,
            age_s,
            None if has_failed_lately else known.confirmed_at,
        )

    def record_answer(self) -> None:
        """Note that the store answered."""
        self.answered_at = self._core.now()
        if self._away:
            self._away = False
            journal.write_decision('store_regained', topic=self._topic)

    def record_failure(self, reason: str) -> None:
        """Note that it did not, and tell the first time of several."""
        self.answered_at = -float('inf')
        now = self._core.now()
        self._freshness.note_lost(now)
        note_cut_off(self._core.roster, now)
        if not self._away:
            self._away = True
            journal.write_decision(
                'store_lost',
                topic=self._topic,
                reason=reason,
            )
