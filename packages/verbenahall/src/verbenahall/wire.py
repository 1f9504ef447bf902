"""JSON encoding and decoding with orjson."""

from typing import Any

import orjson
from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem


def encode(message: Any) -> bytes:
    """Encode a message; data classes are written as objects."""
    return orjson.dumps(message)


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
