"""Asks peers for the software version of a stream."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Final, final

from verbenahall.gateway._core import Core
from verbenahall.stream_versions import (
    Knowledge,
    Question,
    Reply,
    choose_asked,
)

#: Time until a question is repeated, and from then on until it is given up, in
#: seconds: datagrams get lost, and an answer takes some milliseconds.
_REPEAT_S: Final = 0.04
_TIMEOUT_S: Final = 0.08


@dataclasses.dataclass(slots=True)
class _OpenQuestion:
    """A question under way, and the replies so far by peer address."""

    asked: frozenset[str]
    replies: dict[str, Reply]
    answered: asyncio.Event

    def add(self, reply: Reply, sender: str) -> None:
        """Add a reply; a recorded version ends the question."""
        if sender in self.asked:
            self.replies[sender] = reply
        is_found = reply.knowledge is Knowledge.RECORDED
        if is_found or len(self.replies) == len(self.asked):
            self.answered.set()


@final
class VersionQuestions:
    """Sends questions by ``send``, and collects the replies to them."""

    __slots__ = ('_core', '_numbers', '_open', '_send')

    def __init__(
        self, core: Core, send: Callable[[Question, Iterable[str]], None]
    ) -> None:
        """Start without open questions."""
        self._core = core
        self._numbers = itertools.count()
        self._open: dict[int, _OpenQuestion] = {}
        self._send = send

    async def ask(self, key: str, service: str) -> Iterable[Reply]:
        """Return the replies to a question for the stream with a key."""
        peer_table = self._core.peer_table
        addresses = frozenset(
            peer_table.peers[name].address
            for name in choose_asked(peer_table, key)
        )
        if not addresses:
            return ()
        question = Question(next(self._numbers), key, service)
        opened = _OpenQuestion(addresses, {}, asyncio.Event())
        self._open[question.number] = opened
        try:
            await self._await_replies(question, opened)
        finally:
            self._open.pop(question.number)
        return tuple(opened.replies.values())

    def receive(self, reply: Reply, sender: str) -> None:
        """Handle the reply of the peer at an address."""
        opened = self._open.get(reply.number)
        if opened is not None:
            opened.add(reply, sender)

    async def _await_replies(
        self, question: Question, opened: _OpenQuestion
    ) -> None:
        """Send a question, and again to those that do not answer in time."""
        if not await self._send_once(question, opened, _REPEAT_S):
            await self._send_once(question, opened, _TIMEOUT_S)

    async def _send_once(
        self, question: Question, opened: _OpenQuestion, wait_s: float
    ) -> bool:
        """Send to those that have not answered; whether the answer is known."""
        self._send(question, opened.asked - opened.replies.keys())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await opened.answered.wait()
        return opened.answered.is_set()
