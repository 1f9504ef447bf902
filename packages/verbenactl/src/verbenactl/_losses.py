"""How requests ended, by route, time window and cause, from logs.

A request counts in the window of its first line and has one result: answered
on time or late, refused, cut off by an instance, broken off by its endpoint,
past its deadline, abandoned by its caller, failed, or unknown. The result
follows the field ``end`` of the line ``answered``; logs without it don't tell
``broken`` from ``cut``. To distinguish windows with busy engines from those
with idle ones, the prefills of each window are counted as well: ``reads`` is
their number and ``read_k`` their prompt tokens in thousands.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final, final

from verbenactl._answer_ends import (
    RESULT_BY_END,
    WHOLE,
    choose_answer,
    is_success,
)
from verbenactl._delays import DelayBreakdown, count_store_calls
from verbenactl._groups import Ended, count_groups, list_unserved
from verbenactl._explanations import LogLine
from verbenactl._hops import HOP_COLUMNS, count_hops
from verbenactl._manifests import MANIFEST_COLUMNS, count_manifests

#: Results of requests, in the order of the columns.
RESULTS: Final = (
    'on_time',
    'late',
    'refused',
    'cut',
    'broken',
    'deadline',
    'left',
    'failed',
    'unknown',
)
#: Result of a request by the kind of its problem, in logs without the end of
#: its answer; others are ``failed``.
_RESULT_BY_KIND: Final[Mapping[str, str]] = MappingProxyType(
    {
        'overloaded': 'refused',
        'no_endpoint': 'refused',
        'not_ready': 'refused',
        'answer_truncated': 'cut',
        'deadline_exceeded': 'deadline',
    },
)
#: Fields of the line ``accepted`` by which requests are grouped.
_GROUP_FIELDS: Final = ('subject', 'workspace', 'priority')
_THOUSAND: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A printable table: name, column heads and rows."""

    name: str
    columns: Sequence[str]
    rows: Sequence[Sequence[str]]


@final
class _RequestSummary:
    """Summary of the lines on one request."""

    __slots__ = (
        'accepted',
        'answers',
        'delays',
        'first_s',
        'given_up',
        'scheduling_group',
    )

    def __init__(self, accepted: LogLine) -> None:
        self.accepted = accepted
        self.answers: list[Mapping[str, Any]] = []
        self.delays = DelayBreakdown(
            float(accepted.decision.get('waited_s', 0))
        )
        self.first_s: float | None = None
        self.given_up: Mapping[str, Any] | None = None
        self.scheduling_group = ''

    @property
    def route(self) -> str:
        """The route of the request."""
        return str(self.accepted.decision.get('route', ''))

    @property
    def result(self) -> str:
        """The result, one of ``RESULTS``."""
        answer = choose_answer(self.answers) or {}
        known = RESULT_BY_END.get(answer.get('end', ''))
        return known or self._classify_answer(answer)

    @property
    def cause(self) -> str:
        """Why the request failed.

        Words with digits are left out, so that equal causes are counted
        together.
        """
        answer = choose_answer(self.answers) or {}
        given_up = self.given_up or {}
        end = answer.get('end')
        if end == WHOLE or not (end or given_up):
            return f'answered {answer.get("outcome", "")}'
        label = ', '.join(filter(None, (end, given_up.get('kind'))))
        reason = answer.get('reason') or given_up.get('reason') or ''
        words = (word for word in reason.split() if not _contains_digit(word))
        return f'{label}: {" ".join(words)}'

    def describe_end(self) -> Ended:
        """Return how the request ended, with the groups that it belongs to."""
        accepted = self.accepted.decision
        groups = {
            field: str(accepted[field])
            for field in _GROUP_FIELDS
            if accepted.get(field) not in {None, ''}
        }
        groups['instance'] = self.accepted.source
        if self.scheduling_group:
            groups['engines'] = self.scheduling_group
        return Ended(
            route=self.route,
            groups=groups,
            at=self.accepted.at,
            served=self.result in {'on_time', 'late'},
            result=self.result,
        )

    def _classify_answer(self, answer: Mapping[str, Any]) -> str:
        """Return the result by the status, or by why the call was given up."""
        if self.given_up is not None and answer.get('end') is None:
            return _RESULT_BY_KIND.get(self.given_up.get('kind', ''), 'failed')
        match answer.get('outcome'):
            case None:
                return 'unknown'
            case 'caller_gone':
                return 'left'
        if not is_success(answer):
            return 'failed'
        # Answers that are not streams have no first event; their end counts.
        took_s = float(answer['took_s'])
        first_s = took_s if self.first_s is None else self.first_s
        return 'on_time' if self._is_on_time(first_s) else 'late'

    def _is_on_time(self, first_s: float) -> bool:
        accepted = self.accepted.decision
        before_s = float(accepted.get('waited_s', 0))
        objective_s = float(accepted.get('objective_s', 0))
        return before_s + first_s <= objective_s


def find_losses(lines: Iterable[LogLine], window_s: float) -> Sequence[Table]:
    """Return tables of results, causes, delays, hops and the store."""
    kept = sorted(lines, key=lambda line: line.at)
    summaries = _summarize_requests(kept)
    started_at = kept[0].at if kept else 0
    windows = collections.defaultdict(list)
    for summary in summaries:
        windows[int((summary.accepted.at - started_at) / window_s)].append(
            summary
        )
    routes = collections.defaultdict(list)
    for summary in summaries:
        routes[summary.route].append(summary)
    prefills = _sum_prefills(kept, started_at, window_s)
    return [
        Table(
            'route', ('route', 'asked', *RESULTS), list(_count_results(routes))
        ),
        Table(
            'window',
            ('from_s', 'asked', *RESULTS, 'reads', 'read_k'),
            [
                (
                    f'{int(row[0]) * window_s:g}',
                    *row[1:],
                    *prefills[int(row[0])],
                )
                for row in _count_results(windows)
            ],
        ),
        Table('cause', ('cause', 'route', 'count'), _count_causes(summaries)),
        Table('late', ('cause', 'route', 'count'), _count_delays(summaries)),
        *_make_group_tables([one.describe_end() for one in summaries]),
        Table('hops', HOP_COLUMNS, count_hops(kept)),
        Table('manifests', MANIFEST_COLUMNS, count_manifests(kept)),
        Table(
            'store',
            ('call', 'topic', 'outcome', 'calls', 'instances', 'kb'),
            count_store_calls(kept),
        ),
    ]


def _make_group_tables(ended: Sequence[Ended]) -> tuple[Table, Table]:
    return (
        Table(
            'groups',
            ('by', 'route', 'groups', 'unserved', 'by_chance'),
            list(count_groups(ended)),
        ),
        Table(
            'unserved',
            ('by', 'route', 'name', 'asked', 'over_s', 'most'),
            list(list_unserved(ended)),
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


def _summarize_requests(lines: Iterable[LogLine]) -> Sequence[_RequestSummary]:
    summaries: dict[str, _RequestSummary] = {}
    for line in lines:
        decision = line.decision
        request = decision.get('request')
        if decision['event'] == 'accepted':
            summaries.setdefault(request, _RequestSummary(line))
        summary = summaries.get(request)
        if summary is not None:
            _add_line(summary, decision)
            summary.delays.add(decision, line.at)
    return list(summaries.values())


def _add_line(summary: _RequestSummary, decision: Mapping[str, Any]) -> None:
    match decision:
        case {'event': 'generated', 'since_s': since_s}:
            if summary.first_s is None:
                summary.first_s = float(since_s)
        case {'event': 'scheduled', 'group': group}:
            summary.scheduling_group = summary.scheduling_group or str(group)
        case {'event': 'given_up'}:
            summary.given_up = decision
        case {'event': 'answered', 'outcome': _, 'took_s': _}:
            summary.answers.append(decision)
        case _:
            pass


def _count_results(
    groups: Mapping[Any, Sequence[_RequestSummary]],
) -> Iterator[tuple[str, ...]]:
    for key in sorted(groups):
        results = collections.Counter(summary.result for summary in groups[key])
        counts = (str(results[result]) for result in RESULTS)
        yield (str(key), str(len(groups[key])), *counts)


def _count_causes(
    summaries: Iterable[_RequestSummary],
) -> Sequence[tuple[str, ...]]:
    return _count_by_cause(
        (summary.cause, summary.route)
        for summary in summaries
        if summary.result not in {'on_time', 'late'}
    )


def _count_delays(
    summaries: Iterable[_RequestSummary],
) -> Sequence[tuple[str, ...]]:
    return _count_by_cause(
        (summary.delays.get_largest_cause(), summary.route)
        for summary in summaries
        if summary.result == 'late'
    )


def _count_by_cause(
    causes: Iterable[tuple[str, str]],
) -> Sequence[tuple[str, ...]]:
    return [
        (cause, route, str(count))
        for (cause, route), count in collections.Counter(causes).most_common()
    ]


def _sum_prefills(
    lines: Iterable[LogLine],
    started_at: float,
    window_s: float,
) -> Mapping[int, tuple[str, str]]:
    prefills: collections.Counter[int] = collections.Counter()
    tokens: collections.Counter[int] = collections.Counter()
    for line in lines:
        if line.decision['event'] == 'read':
            window = int((line.at - started_at) / window_s)
            prefills[window] += 1
            tokens[window] += int(line.decision.get('missing', 0))
    sums = collections.defaultdict(lambda: ('0', '0'))
    for window, count in prefills.items():
        sums[window] = (str(count), str(tokens[window] // _THOUSAND))
    return sums


def _contains_digit(word: str) -> bool:
    return any(character.isdigit() for character in word)
