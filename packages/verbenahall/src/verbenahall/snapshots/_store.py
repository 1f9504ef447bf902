"""Stores snapshots in the log, in parts that a mark follows."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from absl import logging
from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.log import LogClient
from verbenahall.records import MARKS_STREAM, SNAPSHOTS_STREAM, Record
from verbenahall.snapshots._marks import decode_mark, encode_mark
from verbenahall.snapshots._messages import Mark, Packed, Part, Snapshot
from verbenahall.snapshots._packing import (
    decode_part,
    encode_parts,
    join_parts,
    unpack,
)

_MARKS_LIMIT: Final = 500
#: Parts have nearly the maximum size of records; a page of them stays below
#: 1 MB.
_PARTS_LIMIT: Final = 16

#: Applies a snapshot, or returns why it can't be applied.
ApplySnapshot = Callable[[Snapshot], Result[None, Problem]]


class SnapshotStore:
    """Reads and writes snapshots through one log client."""

    __slots__ = ('_client',)

    def __init__(self, client: LogClient) -> None:
        """Use the log of ``client``."""
        self._client = client

    async def find_marks(self) -> Result[Sequence[Mark], Problem]:
        """Return all marks that the log keeps, newest state first."""
        marks: list[Mark] = []
        after = 0
        while True:
            read = await self._client.read(
                after,
                _MARKS_LIMIT,
                0,
                (MARKS_STREAM,),
            )
            if isinstance(read, Failure):
                return read
            records = read.unwrap().records
            marks.extend(_decode_marks(records))
            if len(records) < _MARKS_LIMIT:
                return Success(sorted(marks, key=_sort_key, reverse=True))
            after = records[-1].offset

    async def load(self, mark: Mark) -> Result[Snapshot, Problem]:
        """Read a mark's snapshot and check its bytes."""
        parts: list[Part | None] = []
        after = mark.start - 1
        while after < mark.offset:
            read = await self._client.read(
                after,
                _PARTS_LIMIT,
                0,
                (SNAPSHOTS_STREAM,),
            )
            if isinstance(read, Failure):
                return read
            records = read.unwrap().records
            parts.extend(decode_part(record.body) for record in records)
            if len(records) < _PARTS_LIMIT:
                break
            after = records[-1].offset
        return unpack(join_parts(mark.upto, mark.sha256, parts))

    async def apply_newest(
        self,
        min_offset: int,
        apply: ApplySnapshot,
    ) -> Result[int, Problem]:
        """Pass the newest valid snapshot to ``apply``; return its offset.

        Only snapshots at or after ``min_offset`` count; returns 0 if none is
        valid. If a snapshot is damaged, has partly expired, differs from its
        mark or is rejected by ``apply``, the next older one is tried.
        """
        found = await self.find_marks()
        if isinstance(found, Failure):
            return found
        marks = [mark for mark in found.unwrap() if mark.upto >= min_offset]
        while marks:
            mark = marks.pop(0)
            loaded = await self.load(mark)
            applied = loaded.bind(apply)
            if isinstance(applied, Success):
                return Success(mark.upto)
            problem = applied.failure()
            if problem.kind is ErrorKind.LOG_UNAVAILABLE:
                return applied
            logging.warning('%s; trying an older one', problem.message)
        return Success(0)

    async def write(self, packed: Packed) -> Result[Mark, Problem]:
        """Append the parts and then the mark.

        If the process ends in between, the parts have no mark and are never
        read.
        """
        bodies = list(encode_parts(packed))
        start = 0
        parts = len(bodies)
        while bodies:
            appended = await self._client.append(
                SNAPSHOTS_STREAM,
                bodies.pop(0),
            )
            if isinstance(appended, Failure):
                return appended
            start = start or appended.unwrap()
        mark = Mark(0, packed.upto, parts, packed.sha256, start)
        marked = await self._client.append(MARKS_STREAM, encode_mark(mark))
        return marked.map(
            lambda offset: Mark(
                offset,
                packed.upto,
                parts,
                packed.sha256,
                start,
            ),
        )


def _decode_marks(records: Iterable[Record]) -> list[Mark]:
    marks = (decode_mark(record) for record in records)
    return [mark for mark in marks if mark is not None]


def _sort_key(mark: Mark) -> tuple[int, int]:
    return mark.upto, mark.offset
