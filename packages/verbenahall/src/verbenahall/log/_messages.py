"""Messages of the log client and the limits of the log."""

import dataclasses
from typing import Any, Final

from verbenahall.errors import Problem
from verbenahall.records import Record

#: Maximum size of a record's JSON with stream and identity.
MAX_RECORD_BYTES: Final = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The answer to a read.

    ``first`` is the lowest offset that the log still keeps and ``last`` the
    highest that it has assigned, both at the time of the read.
    """

    records: tuple[Record, ...]
    first: int
    last: int


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """An append; ``before`` is an offset that was assigned before it.

    A search for the record starts after ``before``.
    """

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
    """The log did not append; ``retryable`` if it was only busy."""

    problem: Problem
    retryable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The request may have been sent, but no valid answer was received."""

    problem: Problem


Outcome = Appended | Refused | AnswerLost


def read_page(body: dict[str, Any]) -> Page:
    """Decode a page; raise an error if it is invalid.

    The error is a ``KeyError``, ``TypeError`` or ``ValueError``.
    """
    return Page(
        records=tuple(_read_record(row) for row in body['records']),
        first=int(body['first']),
        last=int(body['last']),
    )


def _read_record(row: dict[str, Any]) -> Record:
    # Any process that reaches the log can append a body that is no object.
    # The folds get an empty body instead and reject it.
    body = row.get('body')
    return Record(
        offset=int(row['offset']),
        stream=str(row['stream']),
        identity=str(row['id']),
        body=body if isinstance(body, dict) else {},
    )
