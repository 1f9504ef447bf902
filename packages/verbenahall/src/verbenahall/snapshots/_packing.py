"""Encodes, compresses and checksums snapshots, and splits them in parts."""

import asyncio
import base64
import hashlib
import zlib
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall import wire
from verbenahall.errors import ErrorKind, Problem
from verbenahall.snapshots._messages import Packed, Part, Snapshot

#: Bytes of a part before base64, so that a record stays below its limit.
PART_BYTES: Final = 45_000
#: Maximum size of a decompressed snapshot, which bounds the memory used.
MAX_STATE_BYTES: Final = 134_217_728
_COMPRESSION_LEVEL: Final = 1
#: Bytes that are compressed before other tasks may run.
_PIECE_BYTES: Final = 262_144


async def pack(snapshot: Snapshot) -> Packed:
    """Encode and compress a snapshot; yield to other tasks between pieces."""
    text = wire.encode({'upto': snapshot.upto, 'sections': snapshot.sections})
    packer = zlib.compressobj(_COMPRESSION_LEVEL)
    pieces: list[bytes] = []
    start = 0
    while start < len(text):
        pieces.append(packer.compress(text[start : start + _PIECE_BYTES]))
        start += _PIECE_BYTES
        await asyncio.sleep(0)
    pieces.append(packer.flush())
    state = b''.join(pieces)
    digest = hashlib.sha256(state).hexdigest()
    return Packed(snapshot.upto, digest, state)


def unpack(packed: Packed) -> Result[Snapshot, Problem]:
    """Decode a packed snapshot, or fail if its bytes are damaged."""
    digest = hashlib.sha256(packed.state).hexdigest()
    if digest != packed.sha256:
        return _fail('its checksum does not match')
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(packed.state, MAX_STATE_BYTES)
    except zlib.error as error:
        return _fail(str(error))
    if not unpacker.eof:
        return _fail('it is truncated or too large')
    return wire.decode_table(text).bind(_read_snapshot)


def encode_parts(packed: Packed) -> Iterator[dict[str, Any]]:
    """Yield the bodies of the records with the parts of a snapshot."""
    starts = range(0, len(packed.state), PART_BYTES)
    for number, start in enumerate(starts):
        chunk = packed.state[start : start + PART_BYTES]
        yield {
            'upto': packed.upto,
            'part': number,
            'parts': len(starts),
            'sha256': packed.sha256,
            'state': base64.b64encode(chunk).decode(),
        }


def decode_part(body: Mapping[str, Any]) -> Part | None:
    """Decode a part's body; ``None`` if it is invalid.

    Any process that reaches the log can write one.
    """
    try:
        return Part(
            str(body['sha256']),
            int(body['part']),
            base64.b64decode(body['state'], validate=True),
        )
    except (KeyError, TypeError, ValueError):
        return None


def join_parts(upto: int, sha256: str, parts: Sequence[Part | None]) -> Packed:
    """Join the parts of one checksum; ``unpack`` detects missing ones."""
    chunks = {
        part.number: part.state
        for part in parts
        if part is not None and part.sha256 == sha256
    }
    state = b''.join(chunks[number] for number in sorted(chunks))
    return Packed(upto, sha256, state)


def encode_packed(packed: Packed) -> bytes:
    """Encode a packed snapshot as one JSON body for a peer."""
    return wire.encode(
        {
            'upto': packed.upto,
            'sha256': packed.sha256,
            'state': base64.b64encode(packed.state).decode(),
        },
    )


def decode_packed(body: bytes) -> Result[Packed, Problem]:
    """Decode a packed snapshot from a peer."""
    return wire.decode_table(body).bind(_read_packed)


def _read_packed(table: dict[str, Any]) -> Result[Packed, Problem]:
    part = decode_part({**table, 'part': 0})
    upto = table.get('upto')
    if part is None or not isinstance(upto, int):
        return _fail('a field is missing')
    return Success(Packed(upto, part.sha256, part.state))


def _read_snapshot(table: dict[str, Any]) -> Result[Snapshot, Problem]:
    upto = table.get('upto')
    sections = table.get('sections')
    if isinstance(upto, int) and isinstance(sections, dict):
        return Success(Snapshot(upto, sections))
    return _fail('it has no sections')


def _fail(reason: str) -> Result[Any, Problem]:
    return Failure(Problem(ErrorKind.CONFLICT, f'snapshot: {reason}'))
