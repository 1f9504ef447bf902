"""Requests for a topic between instances, and their answers."""

import dataclasses
import math
import zlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.platform import Batch, decode_batch, encode_batch

#: Path of the requests on the port between instances.
RELAY_PATH: Final = '/peer/topic'
#: Header of an answer, with a JSON object: all but the records.
STATE_HEADER: Final = 'Verbenahall-Topic-State'
#: Offset in a request of an instance that has no state of the topic.
NO_OFFSET: Final = -1
#: Bytes that an answer may have, and that it may decompress to. The entries of
#: 12,000 endpoints have about 4 MB.
MAX_BODY_BYTES: Final = 4_194_304
_MAX_UNPACKED_BYTES: Final = 33_554_432
#: Level of compression: the fastest, as a body is used a few times only.
_COMPRESSION_LEVEL: Final = 1
#: Hops that a confirmation may state; a higher number is malformed.
_MAX_STATED_HOPS: Final = 8
_MS: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TopicState:
    """What a peer sends of a topic.

    ``records`` begin at the position ``start`` and are complete up to ``end``.
    With ``is_whole`` they are instead the newest record of each key. ``age_s``
    is the age of the store's own answer that it holds nothing newer, infinite
    if there is none. ``origin`` is the instance that got this answer, and
    ``hops`` how often it was forwarded before.
    """

    records: Sequence[bytes]
    start: int
    end: int
    is_whole: bool = False
    age_s: float = math.inf
    origin: str = ''
    hops: int = 0


def encode_head(state: TopicState) -> str:
    """Return the header value for a state."""
    is_known = math.isfinite(state.age_s)
    return wire.encode(
        {
            'whole': state.is_whole,
            'ageMs': round(state.age_s * _MS) if is_known else None,
            'origin': state.origin,
            'hops': state.hops,
        },
    ).decode()


def encode_body(state: TopicState) -> bytes:
    """Return the compressed records of a state, with their offsets."""
    batch = Batch(state.end, state.start, tuple(state.records))
    return zlib.compress(encode_batch(batch), _COMPRESSION_LEVEL)


def decode_state(head: str, body: bytes) -> Maybe[TopicState]:
    """Decode an answer; Nothing if it is malformed or too long."""
    match wire.decode_table(head.encode('utf-8', 'surrogateescape')):
        case Success(table):
            return _build_state(table, body)
        case _:
            return Nothing


def _build_state(table: Mapping[str, Any], body: bytes) -> Maybe[TopicState]:
    try:
        batch = decode_batch(_inflate(body))
    except (ValueError, zlib.error):
        return Nothing
    match table:
        case {
            'whole': bool(is_whole),
            'ageMs': (int() | float() | None) as age_ms,
            'origin': str(origin),
            'hops': int(hops),
        } if _is_valid(age_ms, hops):
            return Some(
                TopicState(
                    batch.records,
                    batch.first,
                    batch.end,
                    is_whole,
                    math.inf if age_ms is None else age_ms / _MS,
                    origin,
                    hops,
                ),
            )
        case _:
            return Nothing


def _is_valid(age_ms: float | None, hops: int) -> bool:
    is_age = age_ms is None or 0 <= age_ms < math.inf
    return is_age and 0 <= hops <= _MAX_STATED_HOPS


def _inflate(body: bytes) -> bytes:
    """Decompress a body; ValueError if it is too long or incomplete."""
    inflater = zlib.decompressobj()
    unpacked = inflater.decompress(body, _MAX_UNPACKED_BYTES)
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError('the records are too long or incomplete')
    return unpacked
