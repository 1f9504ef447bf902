"""The crash log: what was running at endpoints that crashed."""

from typing import Final, final

#: Most suspects that are kept, which takes about two megabytes.
_MAX_SUSPECTS: Final = 4096
#: Most incarnations whose last crash is kept.
_MAX_INCARNATIONS: Final = 4096
#: Number of suspects that are evicted together when there are too many.
_EVICTION_BATCH: Final = 512
#: Most crashes that are kept for each suspect.
_MAX_CRASHES: Final = 8
#: Most parts whose last whole answer is kept.
_MAX_PARTS: Final = 4096


@final
class Suspect:
    """A request, or a part of prompts, that ran at endpoints that crashed.

    ``crashes`` holds the time of each crash by the endpoint's incarnation, and
    ``answered_at`` the time of the request's last complete response.
    """

    __slots__ = ('answered_at', 'crashes')

    def __init__(self) -> None:
        """Start without a crash."""
        self.answered_at = -float('inf')
        self.crashes: dict[str, float] = {}

    @property
    def last_at(self) -> float:
        """Time of the last crash."""
        return max(self.crashes.values(), default=-float('inf'))

    @property
    def crash_count(self) -> int:
        """Number of crashes since the last complete response."""
        return len(self.list_uncleared())

    def list_uncleared(self) -> list[tuple[str, float]]:
        """Return the crashes since the last complete response.

        Each one is a pair of the endpoint's incarnation and the time.
        """
        return [
            (incarnation, at)
            for incarnation, at in self.crashes.items()
            if at > self.answered_at
        ]

    def add(self, incarnation: str, at: float) -> bool:
        """Add a crash; False if it was known."""
        if incarnation in self.crashes:
            return False
        self.crashes[incarnation] = at
        if len(self.crashes) > _MAX_CRASHES:
            self.crashes.pop(min(self.crashes, key=self.crashes.__getitem__))
        return True


@final
class CrashLog:
    """The suspects by fingerprint, ordered by their last change.

    ``crashed_at`` holds the time of the last crash of each incarnation of an
    endpoint, ``alive_at`` until when an incarnation with a reported crash is
    known to have run. ``attributed`` holds the quarantined parts that were open
    at the crash of an incarnation, ``parts_answered`` the time of the last
    whole answer to a prompt with a part. ``is_complete`` is whether the log
    holds what was known before this instance started, and ``unknown_open``
    the ids of open requests with parts that were unknown when they were sent.
    """

    __slots__ = (
        'alive_at',
        'crashed_at',
        'attributed',
        'is_complete',
        'parts_answered',
        'suspects',
        'unknown_open',
    )

    def __init__(self) -> None:
        """Start without suspects."""
        self.alive_at: dict[str, float] = {}
        self.crashed_at: dict[str, float] = {}
        self.attributed: dict[str, frozenset[str]] = {}
        self.is_complete = False
        self.parts_answered: dict[str, float] = {}
        self.suspects: dict[str, Suspect] = {}
        self.unknown_open: set[str] = set()

    def list_unattributed(self, key: str) -> list[str]:
        """Return the crashes that count against a suspect, by incarnation.

        Those at which a quarantined part was open count against that only.
        """
        suspect = self.suspects.get(key)
        if suspect is None:
            return []
        return [
            incarnation
            for incarnation, _ in suspect.list_uncleared()
            if key in self.attributed.get(incarnation, (key,))
        ]

    def keep_answered(self, part: str, at: float) -> None:
        """Keep the time of a whole answer to a prompt with a part."""
        self.parts_answered.pop(part, None)
        self.parts_answered[part] = at
        if len(self.parts_answered) > _MAX_PARTS:
            self.parts_answered.pop(next(iter(self.parts_answered)))

    def forget_attributed(self, part: str) -> None:
        """Let the crashes that a part has explained count for others again."""
        for incarnation, parts in tuple(self.attributed.items()):
            others = parts - {part}
            if others:
                self.attributed[incarnation] = others
            else:
                self.attributed.pop(incarnation)

    def record_crash_time(self, incarnation: str, at: float) -> None:
        """Keep the time of an incarnation's last crash."""
        before = self.crashed_at.pop(incarnation, at)
        self.crashed_at[incarnation] = max(at, before)
        if len(self.crashed_at) > _MAX_INCARNATIONS:
            self.crashed_at.pop(next(iter(self.crashed_at)))

    def touch(self, fingerprint: str) -> Suspect:
        """Return a suspect as the last changed one; create it if needed."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect()
        if len(self.suspects) >= _MAX_SUSPECTS:
            self._evict()
        self.suspects[fingerprint] = suspect
        return suspect

    def _evict(self) -> None:
        """Evict the oldest ones of the suspects with the fewest crashes.

        A caller that sends a million different requests must not cause the
        eviction of the request that crashes endpoints.
        """
        by_crashes = sorted(
            self.suspects,
            key=lambda fingerprint: self.suspects[fingerprint].crash_count,
        )
        for fingerprint in by_crashes[:_EVICTION_BATCH]:
            self.suspects.pop(fingerprint)
