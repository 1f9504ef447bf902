"""Which requests ran at endpoints when they crashed."""

from typing import Final, final

#: Suspects that are remembered: some two megabytes at most.
_MOST_SUSPECTS: Final = 4096
#: Suspects that are forgotten together when there are too many.
_EVICTED: Final = 512
#: Starts of endpoints that are remembered for each suspect.
_MOST_STARTS: Final = 8


@final
class Suspect:
    """A request that ran at crashed endpoints.

    ``crashes`` holds the time of each crash by the endpoint's start, and
    ``answered_at`` when the request was last answered whole.
    """

    __slots__ = ('answered_at', 'crashes')

    def __init__(self) -> None:
        """Start without a crash."""
        self.answered_at = -float('inf')
        self.crashes: dict[str, float] = {}

    @property
    def last_at(self) -> float:
        """When the last crash happened."""
        return max(self.crashes.values(), default=-float('inf'))

    @property
    def count(self) -> int:
        """How many endpoints have crashed since the last whole answer."""
        return len(self.list_counted())

    def list_counted(self) -> list[tuple[str, float]]:
        """Return the starts and times of these crashes."""
        return [
            (start, at)
            for start, at in self.crashes.items()
            if at > self.answered_at
        ]

    def add(self, start: str, at: float) -> bool:
        """Add a crash; False when it was known."""
        if start in self.crashes:
            return False
        self.crashes[start] = at
        if len(self.crashes) > _MOST_STARTS:
            self.crashes.pop(min(self.crashes, key=self.crashes.__getitem__))
        return True


@final
class CrashLog:
    """The suspects by fingerprint, those that changed last at the end."""

    __slots__ = ('suspects',)

    def __init__(self) -> None:
        """Start without suspects."""
        self.suspects: dict[str, Suspect] = {}

    def open(self, fingerprint: str) -> Suspect:
        """Return a suspect that changes now; it is made if there is none."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect()
        if len(self.suspects) >= _MOST_SUSPECTS:
            self._evict()
        self.suspects[fingerprint] = suspect
        return suspect

    def _evict(self) -> None:
        """Forget the oldest ones of those with the fewest crashes.

        Whoever sends a million different requests must not get the one
        forgotten that crashes endpoints.
        """
        by_crashes = sorted(
            self.suspects,
            key=lambda fingerprint: self.suspects[fingerprint].count,
        )
        for fingerprint in by_crashes[:_EVICTED]:
            self.suspects.pop(fingerprint)
