"""JSON encoding and decoding with orjson."""

import dataclasses
import json
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem


def encode(message: Any) -> bytes:
    """Encode a message; data classes are written as objects.

    What orjson does not write, integers of more than 64 bits and text that is
    no UTF-8, may come from another program's record.
    """
    try:
        return orjson.dumps(message)
    except orjson.JSONEncodeError:
        return json.dumps(message, default=dataclasses.asdict).encode()


def encode_line(line: dict[str, Any]) -> bytes:
    """Encode a log line, whatever its fields hold."""
    try:
        return encode(line)
    except (TypeError, ValueError, RecursionError):
        described = {name: repr(found) for name, found in line.items()}
    return json.dumps(described).encode()


def decode(body: bytes) -> Result[Any, Problem]:
    """Decode a JSON body; the problem names the position of an error."""
    try:
        return Success(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        return Failure(Problem(ErrorKind.BAD_REQUEST, f'not JSON: {error}'))


def decode_table(body: bytes) -> Result[dict[str, Any], Problem]:
    """Decode a JSON body; fail if it is not an object."""
    return decode(body).bind(_require_table)


def _require_table(found: Any) -> Result[dict[str, Any], Problem]:
    if isinstance(found, dict):
        return Success(found)
    return Failure(
        Problem(ErrorKind.BAD_REQUEST, 'the body must be a JSON object'),
    )
