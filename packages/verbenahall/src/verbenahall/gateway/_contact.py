"""Whether this instance is in touch with the store, and since when not."""

from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.roster import note_cut_off

#: How long after an answer the store counts as in touch, in seconds: the rest
#: after changes, a poll, and what its answer may take.
_IN_TOUCH_S: Final = 1.8


@final
class StoreContact:
    """What the calls for one topic tell of the store."""

    __slots__ = ('answered_at', '_away', '_core', '_topic')

    def __init__(self, core: Core, topic: str) -> None:
        """Start without an answer."""
        self.answered_at = -float('inf')
        self._away = False
        self._core = core
        self._topic = topic

    def is_fresh(self, now: float) -> bool:
        """Tell whether the store has answered lately."""
        return now - self.answered_at < _IN_TOUCH_S

    def note_answer(self) -> None:
        """Note that the store answered."""
        self.answered_at = self._core.now()
        if self._away:
            self._away = False
            journal.write_decision('store_regained', topic=self._topic)

    def note_silence(self, reason: str) -> None:
        """Note that it did not, and tell the first time of several."""
        self.answered_at = -float('inf')
        note_cut_off(self._core.roster, self._core.now())
        if not self._away:
            self._away = True
            journal.write_decision(
                'store_lost',
                topic=self._topic,
                reason=reason,
            )
