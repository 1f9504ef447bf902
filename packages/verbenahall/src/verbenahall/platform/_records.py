"""Framing of the store's records: length, and key in keyed topics."""

import dataclasses
import struct
from collections.abc import Iterable, Iterator
from typing import Final

_LENGTH: Final = struct.Struct('>I')
#: What precedes the records of a read: the end and the first kept offset.
_BOUNDS: Final = struct.Struct('>QQ')


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest word under a key; an empty value takes the key away."""

    key: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records read from an offset on; ``end`` is where the topic ends."""

    end: int
    first: int
    records: tuple[bytes, ...]


def encode_records(records: Iterable[bytes]) -> bytes:
    """Frame the records of one append."""
    framed = (_LENGTH.pack(len(record)) + record for record in records)
    return b''.join(framed)


def decode_batch(body: bytes) -> Batch:
    """Split the answer of a read; ``ValueError`` when it is cut short."""
    if len(body) < _BOUNDS.size:
        raise ValueError('the answer of a read is shorter than its bounds')
    end, first = _BOUNDS.unpack_from(body)
    return Batch(end, first, tuple(_split(body, _BOUNDS.size)))


def decode_keyed(record: bytes) -> KeyedRecord:
    """Split a record of a keyed topic; ``ValueError`` when it has no key."""
    if not record or len(record) < 1 + record[0]:
        raise ValueError('a keyed record is shorter than its key')
    start = 1 + record[0]
    return KeyedRecord(record[1:start].decode(), record[start:])


def encode_keyed(record: KeyedRecord) -> bytes:
    """Join a key of at most 255 bytes and its content."""
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
