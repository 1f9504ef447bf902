"""Orders a queue and selects the requests that can be on time.

Engines are taken as one server that works on the requests in their order. When
the next request would be late, the one with the most engine time among those
selected and the next one is left out (Moore and Hodgson's rule for the least
number of late jobs).
"""

import heapq
import itertools
import operator
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, final

from verbenahall.overload._messages import Candidate, Rank, Stage
from verbenahall.overload._outcomes import Group, list_groups

_ON_TIME: Final = Stage.ON_TIME
_LATE: Final = Stage.LATE
#: Stages of requests by their turns; None if it depends on their due time.
_TURN_STAGES: Final = (Stage.RETURNED, None, Stage.EARLY)


@final
class EngineShare:
    """The engines that work on a queue, as seen by its requests.

    ``names`` are those that prefill, and ``queues`` is the number of queues
    that use them, at least 1.
    """

    __slots__ = ('_names', '_queues', '_share')

    def __init__(self, names: frozenset[str], queues: int = 1) -> None:
        """Divide engine time by the engines for each queue."""
        self._names = names
        self._queues = queues
        self._share = queues / max(1, len(names))

    def divide(self, candidate: Candidate) -> float:
        """Return the engine time of a request in seconds.

        It is the prefill time divided by the engines that can take it.
        """
        if not (candidate.tried or candidate.unavailable):
            return candidate.prefill_s * self._share
        usable = self._names - candidate.tried - candidate.unavailable
        return candidate.prefill_s * self._queues / max(1, len(usable))


def make_rank(candidate: Candidate, start: float) -> Rank:
    """Return the sort key of a request without regard to the others.

    ``start`` is when its engine would start on it if it is sent now.
    """
    stage = _TURN_STAGES[candidate.turn]
    if stage is None:
        first_at = start + candidate.expected_first_s
        stage = _LATE if first_at > candidate.due_at else _ON_TIME
    return (
        candidate.priority,
        candidate.beyond_share,
        stage,
        not candidate.returning,
        candidate.due_at,
    )


def rank_candidates(
    candidates: Iterable[Candidate],
    engines: EngineShare,
    delays: Mapping[str, float],
    starved: frozenset[Group],
    now: float,
) -> list[Candidate]:
    """Return the requests in their order, and set the rank of each.

    ``delays`` are the corrections by engine in seconds; requests of the groups
    in ``starved`` are left out last.
    """
    entries: list[_Entry] = []
    for number, candidate in enumerate(candidates):
        delay_s = delays.get(candidate.planned_engine, 0)
        start = now + delay_s
        candidate.rank = make_rank(candidate, start)
        entries.append((candidate.rank, number, start, candidate))
    entries.sort()
    selection = _Selection(engines, starved)
    ranked: list[Candidate] = []
    for _, members in itertools.groupby(entries, _get_class):
        ranked.extend(selection.add_class(members))
    return ranked


#: A request in the order of its rank, and when its engine would start on it.
_Entry = tuple[Rank, int, float, Candidate]
#: A selected request in a heap: the first is left out first. Requests of
#: starved groups come last, then the one with the most engine time first. The
#: last two members are those of its entry.
_Selected = tuple[bool, float, int, float, Candidate]


def _get_class(entry: _Entry) -> tuple[int, bool]:
    """Return the priority, and whether the request is beyond its share."""
    return entry[0][:2]


@final
class _Selection:
    """Selects the requests of one class after the other.

    ``_ahead_s`` is the engine time of the requests selected so far.
    """

    __slots__ = ('_ahead_s', '_engines', '_selected', '_starved')

    def __init__(self, engines: EngineShare, starved: frozenset[Group]) -> None:
        self._ahead_s: float = 0
        self._engines = engines
        self._selected: list[_Selected] = []
        self._starved = starved

    def add_class(self, entries: Iterable[_Entry]) -> list[Candidate]:
        """Select among requests of one class, given by rank.

        Returns them in their order. Requests that could be on time alone and
        are left out get the rank of late ones.
        """
        self._selected = []
        members: list[Candidate] = []
        left_out: list[_Selected] = []
        for rank, number, start, candidate in entries:
            members.append(candidate)
            selected = (
                self._is_starved(candidate),
                -self._engines.divide(candidate),
                number,
                start,
                candidate,
            )
            if rank[2] is _ON_TIME:
                left_out.extend(self._add_on_time(selected))
            else:
                self._add_late(selected)
        if left_out:
            for one in left_out:
                self._leave_out(one)
            members.sort(key=operator.attrgetter('rank'))
        return members

    def _leave_out(self, selected: _Selected) -> None:
        """Rank a request among the late ones of its class."""
        candidate = selected[-1]
        candidate.rank = (
            candidate.priority,
            candidate.beyond_share,
            Stage.LEFT_OUT,
            not candidate.returning,
            candidate.due_at,
        )
        self._add_late(selected)

    def _add_late(self, selected: _Selected) -> None:
        """Count the engine time of a request unless its caller leaves first."""
        if self._predict_first_at(selected) <= selected[-1].leaves_at:
            self._ahead_s -= selected[1]

    def _predict_first_at(self, selected: _Selected) -> float:
        """Return when a request has its first event after those selected."""
        start = selected[-2] + self._ahead_s
        return start + selected[-1].expected_first_s

    def _add_on_time(self, entry: _Selected) -> Sequence[_Selected]:
        """Select a request if it can be on time; return those left out."""
        excess_s = self._predict_first_at(entry) - entry[-1].due_at
        dropped: Sequence[_Selected] = ()
        if excess_s > 0:
            dropped = self._make_room(entry, excess_s)
            if not dropped:
                return (entry,)
        heapq.heappush(self._selected, entry)
        self._ahead_s -= entry[1]
        for one in dropped:
            self._ahead_s += one[1]
        return dropped

    def _make_room(
        self, entry: _Selected, excess_s: float
    ) -> Sequence[_Selected]:
        """Drop selected requests for another one; none if that doesn't help.

        At most one is dropped for a request, or any number that are not of a
        starved group for one that is.
        """
        dropped: list[_Selected] = []
        while self._can_drop(entry, has_dropped=bool(dropped)):
            dropped.append(heapq.heappop(self._selected))
            excess_s += dropped[-1][1]
            if excess_s <= 0:
                return dropped
        for one in dropped:
            heapq.heappush(self._selected, one)
        return ()

    def _can_drop(self, entry: _Selected, *, has_dropped: bool) -> bool:
        """Whether one more selected request may be left out for another."""
        if not self._selected:
            return False
        first = self._selected[0]
        if has_dropped:
            return entry[0] and not first[0]
        return first[:2] < entry[:2]

    def _is_starved(self, candidate: Candidate) -> bool:
        return bool(self._starved) and not self._starved.isdisjoint(
            list_groups(candidate.source)
        )
