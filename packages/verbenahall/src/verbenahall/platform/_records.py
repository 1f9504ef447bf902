"""Binary format of the store's records, with keys in keyed topics."""

import dataclasses
import struct
from collections.abc import Iterable, Iterator
from typing import Final

#: Format of the length, in bytes, that precedes each record.
_LENGTH: Final = struct.Struct('>I')
#: The header of a read's answer: the end and the first kept offset.
_BOUNDS: Final = struct.Struct('>QQ')


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; empty content removes the key."""

    key: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """The records from an offset on.

    ``first`` is the lowest kept offset and ``end`` the end of the topic.
    """

    end: int
    first: int
    records: tuple[bytes, ...]


def encode_records(records: Iterable[bytes]) -> bytes:
    """Encode the records of one append, each after its length."""
    framed = (_LENGTH.pack(len(record)) + record for record in records)
    return b''.join(framed)


def decode_batch(body: bytes) -> Batch:
    """Decode the answer of a read; ``ValueError`` if it is truncated."""
    if len(body) < _BOUNDS.size:
        raise ValueError('the answer of a read is shorter than its bounds')
    end, first = _BOUNDS.unpack_from(body)
    return Batch(end, first, tuple(_split(body, _BOUNDS.size)))


def encode_batch(batch: Batch) -> bytes:
    """Encode records as in the answer of a read."""
    return _BOUNDS.pack(batch.end, batch.first) + encode_records(batch.records)


def decode_keyed(record: bytes) -> KeyedRecord:
    """Decode a record of a keyed topic; ``ValueError`` if it has no key."""
    if not record or len(record) < 1 + record[0]:
        raise ValueError('a keyed record is shorter than its key')
    start = 1 + record[0]
    return KeyedRecord(record[1:start].decode(), record[start:])


def encode_keyed(record: KeyedRecord) -> bytes:
    """Encode a record; the key has at most 255 bytes."""
    key = record.key.encode()
    return bytes([len(key)]) + key + record.content


def _split(body: bytes, start: int) -> Iterator[bytes]:
    while start < len(body):
        if start + _LENGTH.size > len(body):
            raise ValueError('a record is cut inside its length')
        length = _LENGTH.unpack_from(body, start)[0]
        start += _LENGTH.size
        if start + length > len(body):
            raise ValueError('a record is shorter than its length')
        yield body[start : start + length]
        start += length
