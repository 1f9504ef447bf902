"""Explains a request from log lines: its events and their outcome."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final

from verbenactl._answer_ends import choose_answer, describe_end
from verbenahall import wire

#: Fields that are not repeated among the fields of a printed line.
_OMITTED_FIELDS: Final = frozenset(('event', 'at', 'request'))
#: Explanation of a failed request, by the kind in its last line.
_CAUSE_BY_KIND: Final[Mapping[str, str]] = MappingProxyType(
    {
        'overloaded': 'refused: it could not be served in time, nothing ran',
        'no_endpoint': 'refused: no endpoint could take it, nothing ran',
        'not_ready': 'refused: the instance had no manifest yet',
        'not_found': 'refused: the manifest in force has no such route',
        'too_large': 'refused: the body is larger than the manifest allows',
        'deadline_exceeded': 'failed: its deadline passed before the answer',
        'endpoint_failed': 'failed: an endpoint failed, and no attempt was'
        ' left',
        'outcome_unknown': 'failed: an endpoint failed, and the request may'
        ' run only once',
        'answer_truncated': 'cut: its stream broke and could not be resumed',
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A decision line and the name of its log."""

    source: str
    decision: Mapping[str, Any]

    @property
    def at(self) -> float:
        """Wall time of the line in seconds, by the instance's clock."""
        return float(self.decision.get('at', 0))


def parse_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the decisions among the lines.

    Text before the JSON object, if any, replaces ``source``.
    """
    for line in lines:
        prefix, brace, rest = line.partition('{')
        decision = wire.decode_table((brace + rest).encode()).value_or({})
        if 'event' in decision:
            yield LogLine(' '.join(prefix.split()) or source, decision)


def explain(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return a line for each decision on a request, the cause, and the end.

    The other attempts at a stream that was taken up are included, each with a
    cause and an end of its own. Older logs don't tell the end.
    """
    decisions = sorted(lines, key=lambda line: line.at)
    matching = [
        (attempt, line)
        for attempt in _list_attempts(decisions, request)
        for line in decisions
        if line.decision.get('request') == attempt
    ]
    if not matching:
        return [f'no line names request {request}']
    rows: list[str] = []
    started_at = matching[0][1].at
    for attempt, group in itertools.groupby(matching, key=lambda row: row[0]):
        found = [line for _, line in group]
        if attempt != request:
            rows.append(f'attempt {attempt} at the same stream:')
        rows.extend(_describe(line, line.at - started_at) for line in found)
        rows.append(f'cause: {find_cause(found)}')
        rows.extend(_list_ends(found))
    return rows


def _list_attempts(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return the requests that are attempts at one stream, in order."""
    resumed = {
        line.decision['request']: line.decision['resumes']
        for line in lines
        if line.decision['event'] == 'accepted' and line.decision.get('resumes')
    }
    first = resumed.get(request, request)
    later = [one for one, begun in resumed.items() if begun == first]
    return [first, *(one for one in later if one != first)]


def find_cause(lines: Iterable[LogLine]) -> str:
    """Return a sentence on how and why a request ended."""
    lines = list(lines)
    events = {line.decision['event']: line.decision for line in lines}
    last = events.get('given_up') or events.get('refused')
    failed = events.get('attempt_failed')
    if last is not None:
        cause = _CAUSE_BY_KIND.get(last.get('kind', ''), 'given up')
        return f'{cause} ({last.get("reason", "")})'
    answered = _find_answered(lines)
    if answered is None:
        return 'no final line: the instance ended, or its lines were lost'
    if answered['outcome'] == 'caller_gone':
        return 'the caller left before its answer was complete'
    if answered.get('reason'):
        return f'failed: {answered["reason"]}'
    after = f', after {failed["outcome"]}' if failed else ''
    return f'answered {answered["outcome"]}{after}'


def _list_ends(lines: Iterable[LogLine]) -> Iterator[str]:
    answered = _find_answered(lines)
    sentence = answered and describe_end(answered)
    if sentence:
        yield sentence


def _find_answered(lines: Iterable[LogLine]) -> Mapping[str, Any] | None:
    return choose_answer(
        line.decision for line in lines if line.decision['event'] == 'answered'
    )


def _describe(line: LogLine, after_s: float) -> str:
    fields = ' '.join(
        f'{name}={found}'
        for name, found in line.decision.items()
        if name not in _OMITTED_FIELDS
    )
    return f'+{after_s:.3f} {line.source} {line.decision["event"]} {fields}'
