"""Datagrams and stored records with the counts of an instance."""

import dataclasses
import itertools
from collections.abc import Iterator, Mapping
from typing import Any, Final, Union

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.usage._meter import Counts

#: First bytes of each kind of datagram, by which others are recognised without
#: being decoded.
_POLL_START: Final = b'{"usage_poll":'
_ANSWER_START: Final = b'{"usage_told":'
#: Most counts in a datagram, which keeps it under 1,400 bytes.
_MAX_COUNTS_PER_DATAGRAM: Final = 40


@dataclasses.dataclass(frozen=True, slots=True)
class UsagePoll:
    """A request for counts; ``at`` is the agreed time, 0 if it is unknown."""

    number: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class UsageAnswer:
    """A part of the counts of one run of an instance, in answer to a poll.

    ``number`` is that of the poll, or 0 for counts that are sent without one.
    ``part`` is the index of this part of ``parts``, and ``at`` the time by the
    instance's local clock.
    """

    instance: str
    run: str
    number: int
    part: int
    parts: int
    at: float
    counts: Mapping[int, Counts]


_ANSWER_FIELD_COUNT: Final = len(dataclasses.fields(UsageAnswer))
#: Window, workspace and count.
_Cell = tuple[int, str, int]
#: A run and its counts.
Written = tuple[str, dict[int, Counts]]
Message = Union[UsagePoll, UsageAnswer]


def encode_poll(poll: UsagePoll) -> bytes:
    """Encode a poll."""
    return wire.encode({'usage_poll': [poll.number, poll.at]})


def encode_answer(answer: UsageAnswer) -> bytes:
    """Encode a part of an answer."""
    table = {
        field.name: getattr(answer, field.name)
        for field in dataclasses.fields(answer)
    }
    return wire.encode(
        {'usage_told': {**table, 'counts': list_rows(answer.counts)}},
    )


def decode(datagram: bytes) -> Maybe[Message]:
    """Decode a datagram; Nothing if it is malformed or of another kind."""
    if not datagram.startswith((_POLL_START, _ANSWER_START)):
        return Nothing
    match wire.decode_table(datagram):
        case Success({'usage_poll': [int(number), at]}) if _is_time(at):
            return Some(UsagePoll(number, at))
        case Success({'usage_told': dict(table)}):
            return _decode_answer(table)
        case _:
            return Nothing


def encode_written(run: str, counts: Mapping[int, Counts]) -> bytes:
    """Encode the counts of a run for the store."""
    return wire.encode({'run': run, 'counts': list_rows(counts)})


def decode_written(content: bytes) -> Maybe[Written]:
    """Decode the stored counts of a run; return Nothing if malformed."""
    match wire.decode_table(content):
        case Success({'run': str(run), 'counts': rows}):
            counts = read_counts(rows)
        case _:
            return Nothing
    return Nothing if counts is None else Some((run, counts))


def split_counts(counts: Mapping[int, Counts]) -> list[dict[int, Counts]]:
    """Split counts into one or more parts that each fit into a datagram."""
    cells = _list_cells(counts)
    parts: list[dict[int, Counts]] = []
    while chunk := list(itertools.islice(cells, _MAX_COUNTS_PER_DATAGRAM)):
        part: dict[int, Counts] = {}
        for window, workspace, count in chunk:
            part[window] = {**part.get(window, {}), workspace: count}
        parts.append(part)
    return parts or [{}]


def list_rows(counts: Mapping[int, Counts]) -> list[Any]:
    """Return counts as JSON-encodable rows."""
    return [[window, dict(row)] for window, row in counts.items()]


def read_counts(rows: Any) -> dict[int, Counts] | None:
    """Decode rows of windows and counts; return None if malformed."""
    counts: dict[int, Counts] = {}
    for row in rows if isinstance(rows, list) else (None,):
        match row:
            case [int(window), dict(cells)] if _are_counts(cells):
                counts[window] = cells
            case _:
                return None
    return counts


def _list_cells(counts: Mapping[int, Counts]) -> Iterator[_Cell]:
    for window, row in counts.items():
        for workspace, count in row.items():
            yield window, workspace, count


def _decode_answer(table: dict[str, Any]) -> Maybe[Message]:
    counts = read_counts(table.get('counts'))
    if counts is None:
        return Nothing
    match table:
        case {
            'instance': str(),
            'run': str(),
            'number': int(),
            'part': int(),
            'parts': int(),
            'at': at,
        } if _is_time(at) and len(table) == _ANSWER_FIELD_COUNT:
            return Some(UsageAnswer(**{**table, 'counts': counts}))
        case _:
            return Nothing


def _is_time(found: Any) -> bool:
    return isinstance(found, int | float) and not isinstance(found, bool)


def _are_counts(cells: dict[str, Any]) -> bool:
    return all(
        isinstance(count, int) and not isinstance(count, bool) and count >= 0
        for count in cells.values()
    )
