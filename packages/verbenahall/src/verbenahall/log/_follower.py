"""Follows the log and passes each record to the folds, in order, once."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from absl import logging
from returns.result import Failure, Success

from verbenahall import clock
from verbenahall.log._client import LogClient
from verbenahall.log._messages import Page
from verbenahall.records import (
    AUTHORITY_STREAM,
    CLAIMS_STREAM,
    MARKS_STREAM,
    ORDERS_STREAM,
    SETTINGS_STREAM,
    Record,
)

#: All streams except that of snapshots, which are read only when one is needed.
#: If they were followed, each new snapshot would be sent to every instance.
FOLLOWED_STREAMS: Final = (
    SETTINGS_STREAM,
    AUTHORITY_STREAM,
    ORDERS_STREAM,
    CLAIMS_STREAM,
    MARKS_STREAM,
)
_PAGE_LIMIT: Final = 500
_WAIT_S: Final = 5.0
_MIN_PAUSE_S: Final = 0.05
_MAX_PAUSE_S: Final = 2.0

#: Applies one record; must not await.
Handler = Callable[[Record], None]
#: Called on a gap; moves the follower past the records that have expired.
Recover = Callable[[], Awaitable[None]]


class LogFollower:
    """Reads and applies records after ``position``.

    ``position`` is the offset up to which every followed record was applied.
    ``first`` is the lowest offset that the log keeps and ``head`` the highest
    that it reported (-1 before the first answer). ``last_contact`` is the
    monotonic time of the last answer.
    If records after ``position`` have expired, there is a gap. No records
    are applied until ``recover`` has moved the position past it.
    """

    __slots__ = (
        'first',
        'gap',
        'head',
        'last_contact',
        'position',
        'recover',
        '_client',
        '_handlers',
        '_pause_s',
        '_streams',
    )

    def __init__(
        self,
        client: LogClient,
        handlers: Sequence[Handler],
        *,
        position: int = 0,
        streams: Sequence[str] = FOLLOWED_STREAMS,
        recover: Recover | None = None,
    ) -> None:
        """Start after ``position``; call ``run`` or ``poll`` to read."""
        self.position = position
        self.head = -1
        self.first = 1
        self.last_contact = float('-inf')
        self.gap = False
        self.recover = recover
        self._client = client
        self._handlers = tuple(handlers)
        self._streams = tuple(streams)
        self._pause_s = _MIN_PAUSE_S

    async def run(self) -> None:
        """Follow the log until cancelled; outages are retried."""
        while True:
            # The first poll doesn't wait, so that an instance that starts
            # on a quiet log reads the log's end and is ready soon.
            wait_s = 0 if self.head < 0 else _WAIT_S
            if not await self.poll(wait_s):
                await self._pause()

    async def poll(self, wait_s: float = _WAIT_S) -> bool:
        """Read and apply one page; return whether the log answered.

        A page with a gap is not applied and returns False, so that the next
        poll follows after a pause.
        """
        page = await self._client.read(
            self.position,
            _PAGE_LIMIT,
            wait_s,
            self._streams,
        )
        match page:
            case Success(found):
                return await self._handle_page(found)
            case Failure(problem):
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'following the log at offset %d: %s',
                    10,
                    self.position,
                    problem.message,
                )
        return False

    def advance(self, position: int) -> None:
        """Move past records that a loaded snapshot contains."""
        self.position = max(self.position, position)

    async def _handle_page(self, page: Page) -> bool:
        self.head = max(self.head, page.last)
        self.first = page.first
        self.last_contact = clock.monotonic()
        # Records that expired before they were read can't be read any more.
        # Without them this instance would have other settings than the rest,
        # and no error would show it. A snapshot contains their changes.
        self.gap = page.first > self.position + 1
        if self.gap:
            return await self._recover_gap()
        self._pause_s = _MIN_PAUSE_S
        for record in page.records:
            self._apply(record)
        if len(page.records) < _PAGE_LIMIT:
            self.advance(page.last)
        return True

    async def _recover_gap(self) -> bool:
        logging.warning('records after offset %d have expired', self.position)
        if self.recover is not None:
            await self.recover()
        return False

    def _apply(self, record: Record) -> None:
        if record.offset <= self.position:
            return
        for handler in self._handlers:
            _call_handler(handler, record)
        self.position = record.offset

    async def _pause(self) -> None:
        """Wait with exponential backoff and jitter.

        Without jitter all instances would poll at the same moment when an
        outage ends, and overload the log again.
        """
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1))
        self._pause_s = min(2 * self._pause_s, _MAX_PAUSE_S)


def _call_handler(handler: Handler, record: Record) -> None:
    try:
        handler(record)
    except Exception:
        # A record that a fold can't apply must not end the following: the
        # instance would stay at an old offset without an error.
        logging.exception('record %d could not be applied', record.offset)
