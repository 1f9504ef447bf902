"""Which schedulers, or groups of them, have not answered lately."""

from typing import Final, final

#: A scheduler that did not answer is left out for this long, in seconds: the
#: first time, and the longest after several times in a row. One that is gone
#: for good costs one request its wait at the end of each such time.
_FIRST_S: Final = 2.0
_LONGEST_S: Final = 32.0


@final
class SchedulerHealth:
    """Silent ones by name, left out for longer and longer.

    ``longest_s`` bounds the time for which one is left out, in seconds.
    """

    __slots__ = ('_longest_s', '_pauses')

    def __init__(self, longest_s: float = _LONGEST_S) -> None:
        """Start with nothing against anyone."""
        self._longest_s = longest_s
        self._pauses: dict[str, tuple[float, float]] = {}

    def note_answer(self, name: str) -> None:
        """Note that one answered."""
        self._pauses.pop(name, None)

    def note_silence(self, name: str, now: float) -> None:
        """Note that it did not answer in time."""
        pause_s, until = self._pauses.get(name, (0, now))
        if now < until:
            # Several requests waited for the same silence.
            return
        pause_s = min(max(_FIRST_S, 2 * pause_s), self._longest_s)
        self._pauses[name] = (pause_s, now + pause_s)

    def list_silent(self, now: float) -> frozenset[str]:
        """Return those that are left out now."""
        return frozenset(
            name for name, (_, until) in self._pauses.items() if now < until
        )
