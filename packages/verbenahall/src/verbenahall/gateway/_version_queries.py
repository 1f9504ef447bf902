"""Asks peers for the software version of a stream."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Final, final

from verbenahall.gateway._core import Core
from verbenahall.stream_versions import (
    Evidence,
    VersionQuery,
    Reply,
    choose_queried,
)

#: Time until a query is repeated, and from then on until it is given up, in
#: seconds: datagrams get lost, and an answer takes some milliseconds.
_REPEAT_S: Final = 0.04
_TIMEOUT_S: Final = 0.08


@dataclasses.dataclass(slots=True)
class _OpenQuery:
    """A query under way, and the replies so far by peer address."""

    queried: frozenset[str]
    replies: dict[str, Reply]
    answered: asyncio.Event

    def add(self, reply: Reply, sender: str) -> None:
        """Add a reply; a recorded version ends the query."""
        if sender in self.queried:
            self.replies[sender] = reply
        is_found = reply.evidence is Evidence.RECORDED
        if is_found or len(self.replies) == len(self.queried):
            self.answered.set()


@final
class VersionQueries:
    """Sends queries by ``send``, and collects the replies to them."""

    __slots__ = ('_core', '_numbers', '_open', '_send')

    def __init__(
        self, core: Core, send: Callable[[VersionQuery, Iterable[str]], None]
    ) -> None:
        """Start without open queries."""
        self._core = core
        self._numbers = itertools.count()
        self._open: dict[int, _OpenQuery] = {}
        self._send = send

    async def send(self, key: str, service: str) -> Iterable[Reply]:
        """Return the replies to a query for the stream with a key."""
        peer_table = self._core.peer_table
        addresses = frozenset(
            peer_table.peers[name].address
            for name in choose_queried(peer_table, key)
        )
        if not addresses:
            return ()
        query = VersionQuery(next(self._numbers), key, service)
        opened = _OpenQuery(addresses, {}, asyncio.Event())
        self._open[query.number] = opened
        try:
            await self._await_replies(query, opened)
        finally:
            self._open.pop(query.number)
        return tuple(opened.replies.values())

    def receive(self, reply: Reply, sender: str) -> None:
        """Handle the reply of the peer at an address."""
        opened = self._open.get(reply.number)
        if opened is not None:
            opened.add(reply, sender)

    async def _await_replies(
        self, query: VersionQuery, opened: _OpenQuery
    ) -> None:
        """Send a query, and again to those that do not answer in time."""
        if not await self._send_once(query, opened, _REPEAT_S):
            await self._send_once(query, opened, _TIMEOUT_S)

    async def _send_once(
        self, query: VersionQuery, opened: _OpenQuery, wait_s: float
    ) -> bool:
        """Send to those that have not answered; whether the answer is known."""
        self._send(query, opened.queried - opened.replies.keys())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await opened.answered.wait()
        return opened.answered.is_set()
