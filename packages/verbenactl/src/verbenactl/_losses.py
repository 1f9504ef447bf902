"""Where requests were lost or late: by route, window and cause, from logs.

A request counts at the moment of its first line, and as what became of it:
answered on time, answered late, refused, cut off, run to its deadline, left
by its caller, or failed. What was read in each window is told beside it, so
that a window in which the engines were full is told from one in which they
stood idle.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final, final

from verbenactl._causes import Delays, count_store_calls
from verbenactl._explaining import LogLine

#: What became of a request, in the order of the columns.
FATES: Final = (
    'on_time',
    'late',
    'refused',
    'cut',
    'deadline',
    'left',
    'failed',
    'unknown',
)
#: The fate of a request that was given up, by the problem's kind.
_GIVEN_UP: Final[Mapping[str, str]] = MappingProxyType(
    {
        'overloaded': 'refused',
        'no_endpoint': 'refused',
        'not_ready': 'refused',
        'answer_truncated': 'cut',
        'deadline_exceeded': 'deadline',
    },
)
_SUCCESS: Final = '2'
_THOUSAND: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A table of losses: its name, its columns, and its rows in order."""

    name: str
    columns: Sequence[str]
    rows: Sequence[Sequence[str]]


@final
class _Story:
    """What the lines of one request tell."""

    __slots__ = ('accepted', 'delays', 'first_s', 'given_up', 'outcome')

    def __init__(self, accepted: LogLine) -> None:
        self.accepted = accepted
        self.delays = Delays(float(accepted.decision.get('waited_s', 0)))
        self.first_s: float | None = None
        self.given_up: Mapping[str, Any] | None = None
        self.outcome = ''

    @property
    def route(self) -> str:
        """The route by which it was accepted."""
        return str(self.accepted.decision.get('route', ''))

    @property
    def fate(self) -> str:
        """What became of it."""
        if self.given_up is not None:
            return _GIVEN_UP.get(self.given_up.get('kind', ''), 'failed')
        if self.outcome == 'caller_gone':
            return 'left'
        if self.outcome.startswith(_SUCCESS):
            return 'on_time' if self._is_on_time() else 'late'
        return 'failed' if self.outcome else 'unknown'

    @property
    def cause(self) -> str:
        """Why it was given up, without the figures that differ each time."""
        if self.given_up is None:
            return f'answered {self.outcome}'
        reason = str(self.given_up.get('reason', ''))
        words = (word for word in reason.split() if not _has_digit(word))
        return f'{self.given_up.get("kind", "")}: {" ".join(words)}'

    def _is_on_time(self) -> bool:
        accepted = self.accepted.decision
        before_s = float(accepted.get('waited_s', 0))
        objective_s = float(accepted.get('objective_s', 0))
        return before_s + (self.first_s or 0) <= objective_s


def find_losses(lines: Iterable[LogLine], window_s: float) -> Sequence[Table]:
    """Return the tables of what was lost and late, and of the store's calls."""
    kept = sorted(lines, key=lambda line: line.at)
    stories = _tell_stories(kept)
    begun = kept[0].at if kept else 0
    windows = collections.defaultdict(list)
    for story in stories:
        windows[int((story.accepted.at - begun) / window_s)].append(story)
    routes = collections.defaultdict(list)
    for story in stories:
        routes[story.route].append(story)
    reads = _sum_reads(kept, begun, window_s)
    return (
        Table('route', ('route', 'asked', *FATES), list(_count(routes))),
        Table(
            'window',
            ('from_s', 'asked', *FATES, 'reads', 'read_k'),
            [
                (f'{int(row[0]) * window_s:g}', *row[1:], *reads[int(row[0])])
                for row in _count(windows)
            ],
        ),
        Table('cause', ('cause', 'route', 'count'), _count_causes(stories)),
        Table('late', ('cause', 'route', 'count'), _count_delays(stories)),
        Table(
            'store',
            ('call', 'topic', 'outcome', 'calls', 'instances', 'kb'),
            count_store_calls(kept),
        ),
    )


def format_table(table: Table) -> Iterator[str]:
    """Yield the lines of a table, its columns aligned."""
    rows = [table.columns, *table.rows]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        yield '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()


def _tell_stories(lines: Iterable[LogLine]) -> Sequence[_Story]:
    stories: dict[str, _Story] = {}
    for line in lines:
        decision = line.decision
        request = decision.get('request')
        if decision['event'] == 'accepted':
            stories.setdefault(request, _Story(line))
        story = stories.get(request)
        if story is not None:
            _add_line(story, decision)
            story.delays.add(decision, line.at)
    return list(stories.values())


def _add_line(story: _Story, decision: Mapping[str, Any]) -> None:
    match decision:
        case {'event': 'generated', 'since_s': since_s}:
            if story.first_s is None:
                story.first_s = float(since_s)
        case {'event': 'given_up'}:
            story.given_up = decision
        case {'event': 'answered', 'outcome': outcome, 'took_s': took_s}:
            story.outcome = str(outcome)
            if story.first_s is None:
                # A plain answer has no event before its end.
                story.first_s = float(took_s)
        case _:
            pass


def _count(
    groups: Mapping[Any, Sequence[_Story]],
) -> Iterator[tuple[str, ...]]:
    for key in sorted(groups):
        fates = collections.Counter(story.fate for story in groups[key])
        counts = (str(fates[fate]) for fate in FATES)
        yield (str(key), str(len(groups[key])), *counts)


def _count_causes(stories: Iterable[_Story]) -> Sequence[tuple[str, ...]]:
    return _rank(
        (story.cause, story.route)
        for story in stories
        if story.fate not in {'on_time', 'late'}
    )


def _count_delays(stories: Iterable[_Story]) -> Sequence[tuple[str, ...]]:
    return _rank(
        (story.delays.name_largest(), story.route)
        for story in stories
        if story.fate == 'late'
    )


def _rank(causes: Iterable[tuple[str, str]]) -> Sequence[tuple[str, ...]]:
    return [
        (cause, route, str(count))
        for (cause, route), count in collections.Counter(causes).most_common()
    ]


def _sum_reads(
    lines: Iterable[LogLine],
    begun: float,
    window_s: float,
) -> Mapping[int, tuple[str, str]]:
    reads: collections.Counter[int] = collections.Counter()
    tokens: collections.Counter[int] = collections.Counter()
    for line in lines:
        if line.decision['event'] == 'read':
            window = int((line.at - begun) / window_s)
            reads[window] += 1
            tokens[window] += int(line.decision.get('missing', 0))
    sums = collections.defaultdict(lambda: ('0', '0'))
    for window, count in reads.items():
        sums[window] = (str(count), str(tokens[window] // _THOUSAND))
    return sums


def _has_digit(word: str) -> bool:
    return any(sign.isdigit() for sign in word)
