"""Encodes and decodes marks."""

import dataclasses
from typing import Any, Final

from verbenahall.records import MARKS_STREAM, Record
from verbenahall.snapshots._messages import Mark

_MAX_PARTS: Final = 4096
_NUMBER_KEYS: Final = ('upto', 'parts', 'start')


def encode_mark(mark: Mark) -> dict[str, Any]:
    """Return a mark's body, without the offset, which the record has."""
    body = dataclasses.asdict(mark)
    body.pop('offset')
    return body


def decode_mark(record: Record) -> Mark | None:
    """Decode a mark; ``None`` if the record is no valid mark."""
    body = record.body
    numbers = [body.get(key) for key in _NUMBER_KEYS]
    sha256 = body.get('sha256')
    if record.stream != MARKS_STREAM or not isinstance(sha256, str):
        return None
    if not all(isinstance(number, int) for number in numbers):
        return None
    mark = Mark(record.offset, sha256=sha256, **_select_numbers(body))
    return mark if _is_valid(mark) else None


def _select_numbers(body: dict[str, Any]) -> dict[str, int]:
    return {key: body[key] for key in _NUMBER_KEYS}


def _is_valid(mark: Mark) -> bool:
    ordered = mark.upto < mark.start and mark.start < mark.offset
    return mark.upto >= 0 and ordered and 0 < mark.parts <= _MAX_PARTS
