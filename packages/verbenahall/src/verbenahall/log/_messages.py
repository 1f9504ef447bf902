"""Messages of the log slice and the log's own bounds."""

import dataclasses
from typing import Any, Final

from verbenahall.errors import Problem
from verbenahall.records import Record

#: A record's JSON, with stream and identity, is at most this long.
MAX_RECORD_BYTES: Final = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One answer to a read.

    ``first`` is the lowest offset that the log still keeps and ``last`` the
    highest that it ever gave; both and the records are of one moment.
    """

    records: tuple[Record, ...]
    first: int
    last: int


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """One append: ``before`` is an offset known to be older than it."""

    stream: str
    identity: str
    payload: bytes
    before: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The log answered with the record's offset."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The log surely did not append; ``retryable`` when it was only busy."""

    problem: Problem
    retryable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """No usable answer came after the request may have been written."""

    problem: Problem


Outcome = Appended | Refused | AnswerLost


def read_page(body: dict[str, Any]) -> Page:
    """Build a page from its JSON; raises ``KeyError`` or ``TypeError``."""
    return Page(
        records=tuple(_read_record(row) for row in body['records']),
        first=int(body['first']),
        last=int(body['last']),
    )


def _read_record(row: dict[str, Any]) -> Record:
    # Anyone who reaches the log can append a body that is no object; the
    # folds see an empty body then and refuse it, and following goes on.
    body = row.get('body')
    return Record(
        offset=int(row['offset']),
        stream=str(row['stream']),
        identity=str(row['id']),
        body=body if isinstance(body, dict) else {},
    )
