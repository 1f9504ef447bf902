"""Counts late and refused requests by group, and finds starved groups."""

from typing import Final, final

from verbenahall.overload._messages import Source

#: Length of a window in seconds; the current and the previous one count.
_WINDOW_S: Final = 3.0
#: Share of late and refused requests above which a group is starved, relative
#: to the share of all requests.
_MAX_RATIO: Final = 2.0
#: Requests before which no group counts as starved; the share of fewer is
#: mostly chance.
_MIN_REQUESTS: Final = 20
#: Interval at which the starved groups are found anew, in seconds. At the
#: largest design size there are about 1,700 groups.
_REFRESH_S: Final = 0.25
#: Most groups in a window, which bounds the memory: instances, workspaces,
#: data centres and routes of the largest design size, doubled.
_MAX_GROUPS: Final = 4096

#: A kind of group and its name; an empty name is that of all unknown ones.
Group = tuple[str, str]


def list_groups(source: Source) -> tuple[Group, ...]:
    """Return the groups that a request belongs to."""
    return (
        ('route', source.route),
        ('workspace', source.workspace),
        ('data_centre', source.data_centre),
        ('instance', source.instance),
    )


@final
class _Counts:
    """Requests of a group: all of them, and those late or refused."""

    __slots__ = ('missed', 'total')

    def __init__(self) -> None:
        self.missed = 0
        self.total = 0

    def add(self, missed: int, total: int) -> None:
        self.missed += missed
        self.total += total


_Window = dict[Group, _Counts]
#: Key of the counts of all requests.
_ALL: Final[Group] = ('all', '')


@final
class GroupOutcomes:
    """Outcomes of the last seconds by group."""

    __slots__ = ('_current', '_previous', '_since', '_starved', '_found_at')

    def __init__(self) -> None:
        """Start without requests, so that no group is starved."""
        self._current: _Window = {}
        self._previous: _Window = {}
        self._since = -float('inf')
        self._starved: frozenset[Group] = frozenset()
        self._found_at = -float('inf')

    def record(self, source: Source, now: float, *, missed: bool) -> None:
        """Count a first event or a refusal."""
        self._advance(now)
        for group in (_ALL, *list_groups(source)):
            counts = self._current.get(group)
            if counts is None:
                if len(self._current) >= _MAX_GROUPS:
                    continue
                counts = _Counts()
                self._current[group] = counts
            counts.add(missed, 1)

    def find_starved(self, now: float) -> frozenset[Group]:
        """Return the groups that are late or refused far more than all."""
        if now - self._found_at >= _REFRESH_S:
            self._found_at = now
            self._advance(now)
            self._starved = frozenset(self._list_starved())
        return self._starved

    def _advance(self, now: float) -> None:
        passed_s = now - self._since
        if passed_s < _WINDOW_S:
            return
        self._previous = self._current if passed_s < 2 * _WINDOW_S else {}
        self._current = {}
        self._since = now

    def _list_starved(self) -> list[Group]:
        overall = self._sum_counts(_ALL)
        if not overall.missed:
            return []
        limit = _MAX_RATIO * overall.missed / overall.total
        starved = []
        for group in self._current.keys() | self._previous.keys():
            counts = self._sum_counts(group)
            if counts.total < _MIN_REQUESTS:
                continue
            if counts.missed > limit * counts.total:
                starved.append(group)
        return starved

    def _sum_counts(self, group: Group) -> _Counts:
        total = _Counts()
        for window in (self._previous, self._current):
            counts = window.get(group)
            if counts is not None:
                total.add(counts.missed, counts.total)
        return total
