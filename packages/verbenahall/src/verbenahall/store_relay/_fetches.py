"""Fetches topics from peers."""

import contextlib
import dataclasses
import random
from collections.abc import Iterator
from http import HTTPStatus
from typing import Final, final

import aiohttp
from returns.maybe import Some

from verbenahall.clock import Clock
from verbenahall.peers import PeerTable
from verbenahall.platform import CALL_FAILURES, ProgressTimeout, read_body
from verbenahall.store_relay._messages import (
    MAX_BODY_BYTES,
    NO_OFFSET,
    RELAY_PATH,
    STATE_HEADER,
    TopicState,
    decode_state,
)
from verbenahall.store_relay._topic import LocalTopic

#: Timeout of the head of an answer, and of each further byte, in seconds.
_TIMEOUT_S: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RelayDependencies:
    """Dependencies of the clients; ``session`` must close lost connections."""

    peer_table: PeerTable
    session: aiohttp.ClientSession
    rng: random.Random
    now: Clock


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """A peer's answer to a request sent at ``sent_at``.

    ``state`` is None if it gave none, or if it sends too much to others
    (``is_busy``).
    """

    sent_at: float
    state: TopicState | None = None
    is_busy: bool = False


@final
class PeerFetcher:
    """Fetches one topic from peers."""

    __slots__ = ('_dependencies', '_topic')

    def __init__(
        self, topic: LocalTopic, dependencies: RelayDependencies
    ) -> None:
        """Fetch what ``topic`` lacks."""
        self._dependencies = dependencies
        self._topic = topic

    async def fetch(self, peer: str) -> Fetched:
        """Return a peer's state of the topic."""
        sent_at = self._dependencies.now()
        found = self._dependencies.peer_table.peers[peer]
        position = self._topic.position
        offset = NO_OFFSET if position is None else position
        params = {'topic': self._topic.name, 'from': str(offset)}
        try:
            async with (
                ProgressTimeout(_TIMEOUT_S, _TIMEOUT_S) as timeout,
                self._dependencies.session.get(
                    f'http://{found.address}{RELAY_PATH}',
                    params=params,
                    allow_redirects=False,
                ) as response,
            ):
                if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
                    return Fetched(sent_at, is_busy=True)
                with self._receive():
                    state = await _read_state(response, timeout)
                return Fetched(sent_at, state)
        except CALL_FAILURES:
            return Fetched(sent_at)

    @contextlib.contextmanager
    def _receive(self) -> Iterator[None]:
        self._topic.receiving += 1
        try:
            yield
        finally:
            self._topic.receiving -= 1


async def _read_state(
    response: aiohttp.ClientResponse, timeout: ProgressTimeout
) -> TopicState | None:
    length = response.content_length
    if not response.ok or length is None or length > MAX_BODY_BYTES:
        return None
    head = response.headers.get(STATE_HEADER, '')
    body = await read_body(response, MAX_BODY_BYTES, timeout.extend)
    match decode_state(head, body):
        case Some(state):
            return state
        case _:
            return None
