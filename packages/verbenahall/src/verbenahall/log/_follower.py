"""Follows the log and hands each record to the folds, in order, once."""

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

#: All but the snapshots: those are read when one is needed, and would
#: otherwise reach every instance each time that one of them writes.
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
#: Called on a gap; returns once the follower was moved past it.
Recover = Callable[[], Awaitable[None]]


class LogFollower:
    """Reads on from ``position`` for as long as ``run`` runs.

    ``position`` is the offset up to which every followed record was applied,
    ``head`` the highest offset that the log was seen to have given (-1 before
    the first answer), ``first`` the lowest that it keeps, ``last_contact`` the
    monotonic time of the last answer.
    A gap (records between ``position`` and the oldest kept are gone) stops
    the applying until ``recover`` has moved the position past it.
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
        """Start after ``position``; nothing is read before ``run``."""
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
        """Follow until cancelled, through outages of any length."""
        while True:
            # The first answer comes at once, so that an instance that starts
            # on a quiet log knows the log's end and is soon ready.
            wait_s = 0 if self.head < 0 else _WAIT_S
            if not await self.poll(wait_s):
                await self._pause()

    async def poll(self, wait_s: float = _WAIT_S) -> bool:
        """Read and apply one page; return whether the log answered.

        A page that shows a gap is not applied; it counts as no answer when
        there is no way to recover.
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
        """Move past records that a loaded snapshot already holds."""
        self.position = max(self.position, position)

    async def _handle_page(self, page: Page) -> bool:
        self.head = max(self.head, page.last)
        self.first = page.first
        self.last_contact = clock.monotonic()
        # Records that expired before they were read are gone for good.
        # Reading on would leave this instance with other settings than the
        # rest, without a sign; a snapshot has what they changed.
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
        logging.warning('records after offset %d are gone', self.position)
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
        """Wait longer after each failure, spread over the instances.

        Without the spread all instances would ask at the same moment when
        an outage ends, and keep the log down.
        """
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1))
        self._pause_s = min(2 * self._pause_s, _MAX_PAUSE_S)


def _call_handler(handler: Handler, record: Record) -> None:
    try:
        handler(record)
    except Exception:
        # One record that a fold cannot take must not end the following: the
        # instance would stay at an old offset for ever without saying why.
        logging.exception('record %d could not be applied', record.offset)
