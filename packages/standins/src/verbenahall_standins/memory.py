"""In-memory log with the interface of the log client, for tests."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall import wire
from verbenahall.errors import ErrorKind, Problem
from verbenahall.log import Page
from verbenahall.records import Record

#: Maximum wait of a read in seconds, short to keep tests fast.
_MAX_WAIT_S: Final = 0.01
_DOWN: Final = Problem(ErrorKind.LOG_UNAVAILABLE, 'down')


class MemoryLog:
    """Replaces ``verbenahall.log.LogClient`` in tests.

    ``first`` is the lowest offset kept. ``fail_after`` is the number of
    appends that still succeed. While ``down`` is set, every call fails.
    """

    def __init__(self) -> None:
        """Start empty and available."""
        self.records: list[Record] = []
        self.first = 1
        self.down = False
        self.fail_after = float('inf')

    async def append(
        self,
        stream: str,
        body: dict[str, Any],
    ) -> Result[int, Problem]:
        """Append a record; its body is copied through JSON."""
        await asyncio.sleep(0)
        if self.down or self.fail_after == 0:
            return Failure(_DOWN)
        self.fail_after -= 1
        offset = len(self.records) + 1
        copied = wire.decode_table(wire.encode(body)).unwrap()
        self.records.append(Record(offset, stream, f'i{offset}', copied))
        return Success(offset)

    async def read(
        self,
        after: int,
        limit: int,
        wait_s: float = 0,
        streams: Sequence[str] = (),
    ) -> Result[Page, Problem]:
        """Return a page of the kept records."""
        await asyncio.sleep(min(_MAX_WAIT_S, wait_s))
        if self.down:
            return Failure(_DOWN)
        found = [
            record
            for record in self.records[max(after, self.first - 1) :]
            if not streams or record.stream in streams
        ]
        return Success(
            Page(tuple(found[:limit]), self.first, len(self.records)),
        )

    def expire(self, count: int | None = None) -> None:
        """Remove the oldest ``count`` records, or all records."""
        self.first += len(self.records) if count is None else count

    def replace(self, offset: int, **changes: Any) -> None:
        """Replace fields in the body of one record."""
        record = self.records[offset - 1]
        body = {**record.body, **changes}
        self.records[offset - 1] = dataclasses.replace(record, body=body)
