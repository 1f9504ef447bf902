"""Sends topics to peers that the store refuses."""

import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Iterator, Mapping
from http import HTTPStatus
from typing import Final, final

from aiohttp import web

from verbenahall import metrics
from verbenahall.clock import Clock
from verbenahall.forwarding import HOP_HEADER
from verbenahall.peers import PeerTable
from verbenahall.platform import (
    USAGE_TOPIC,
    Appended,
    StoreClient,
    decode_keyed,
)
from verbenahall.store_relay._messages import (
    STATE_HEADER,
    TopicState,
    encode_body,
    encode_head,
)
from verbenahall.store_relay._topic import LocalTopic

#: Topics to which records of peers are appended. Their records state what an
#: instance has counted, so that writing one twice does no harm.
_WRITABLE: Final = frozenset((USAGE_TOPIC,))
#: Bytes that a record of a peer may have: 1,000 workspaces in several windows.
_MAX_RECORD_BYTES: Final = 262_144
#: Encoded bodies that are kept. Instances that are refused together mostly
#: request the same records, which are then compressed once.
_MAX_BODIES: Final = 4
#: Answers that are being sent at once at most, and the time for which the link
#: is busy with them, in seconds; more instances use the next peer, which may
#: have got the records meanwhile.
_MAX_OPEN: Final = 32
_MAX_BUSY_S: Final = 0.3
_BYTES_IN_MEGABIT: Final = 125_000


@dataclasses.dataclass(frozen=True, slots=True)
class RelayAnswer:
    """What a peer gets for a request; only one with status 200 has a body."""

    status: HTTPStatus
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@final
class RelayServer:
    """Answers requests for topics from this instance's own copies."""

    __slots__ = (
        '_bodies',
        '_forward',
        '_now',
        '_open_bytes',
        '_open_count',
        '_peer_table',
        '_store',
        '_topics',
    )

    def __init__(
        self,
        topics: Mapping[str, LocalTopic],
        peer_table: PeerTable,
        store: StoreClient,
        now: Clock,
        forward: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> None:
        """Serve ``topics``, and append records of peers to ``store``.

        ``forward`` handles callers' requests that a peer forwards.
        """
        self._bodies: dict[tuple[str, int, int, bool], bytes] = {}
        self._forward = forward
        self._now = now
        self._open_bytes = 0
        self._open_count = 0
        self._peer_table = peer_table
        self._store = store
        self._topics = topics

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request of a peer.

        A caller's request for the same path is forwarded with a hop. It must
        not get the topics, which hold the digests of keys.
        """
        if HOP_HEADER in request.headers:
            return await self._forward(request)
        with self.open_answer(request.remote, request.query) as answer:
            response = web.Response(
                status=answer.status, body=answer.body, headers=answer.headers
            )
            await _write(request, response)
        return response

    @contextlib.contextmanager
    def open_answer(
        self, host: str | None, query: Mapping[str, str]
    ) -> Iterator[RelayAnswer]:
        """Yield the answer to a host's query; it is open until the exit."""
        answer = self._find_answer(host, query)
        if self._open_bytes and not self._has_room(answer):
            answer = RelayAnswer(HTTPStatus.SERVICE_UNAVAILABLE)
        metrics.RELAY_ANSWERS.add(str(answer.status.value))
        self._open_count += 1
        self._open_bytes += len(answer.body)
        try:
            yield answer
        finally:
            self._open_count -= 1
            self._open_bytes -= len(answer.body)

    async def handle_append(self, request: web.Request) -> web.StreamResponse:
        """Append one record of a peer that the store refuses.

        It is never passed on to another peer.
        """
        if HOP_HEADER in request.headers:
            return await self._forward(request)
        if not self._is_peer(request.remote):
            return self._refuse(HTTPStatus.FORBIDDEN)
        topic = request.query.get('topic', '')
        length = request.content_length
        if length is None or length > _MAX_RECORD_BYTES:
            return self._refuse(HTTPStatus.BAD_REQUEST)
        record = await request.read()
        if topic not in _WRITABLE or not self._is_own(record, request.remote):
            return self._refuse(HTTPStatus.BAD_REQUEST)
        outcome = await self._store.append(topic, [record])
        if not isinstance(outcome, Appended):
            return self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        metrics.RELAY_ANSWERS.add('200')
        return web.Response()

    def _has_room(self, answer: RelayAnswer) -> bool:
        """Whether the link bears another answer beside the open ones."""
        rate = self._peer_table.link_megabits * _BYTES_IN_MEGABIT
        return self._open_bytes + len(answer.body) <= rate * _MAX_BUSY_S

    def _find_answer(
        self, host: str | None, query: Mapping[str, str]
    ) -> RelayAnswer:
        if not self._is_peer(host):
            return RelayAnswer(HTTPStatus.FORBIDDEN)
        topic = query.get('topic', '')
        served = self._topics.get(topic)
        offset = _read_offset(query.get('from', ''))
        if served is None or offset is None:
            return RelayAnswer(HTTPStatus.BAD_REQUEST)
        if served.copy.end is None or self._open_count >= _MAX_OPEN:
            return RelayAnswer(HTTPStatus.SERVICE_UNAVAILABLE)
        state = self._make_state(served, offset, served.copy.end)
        return RelayAnswer(
            HTTPStatus.OK,
            self._find_body(topic, state),
            {STATE_HEADER: encode_head(state)},
        )

    def _is_own(self, record: bytes, host: str | None) -> bool:
        """Whether the key of a record is the name of the peer that sent it."""
        if len(record) > _MAX_RECORD_BYTES:
            return False
        try:
            name = decode_keyed(record).key
        except ValueError:
            return False
        peer = self._peer_table.peers.get(name)
        return peer is not None and peer.address.rpartition(':')[0] == host

    def _is_peer(self, host: str | None) -> bool:
        """Whether a request comes from the address of a known peer."""
        addresses = (one.address for one in self._peer_table.peers.values())
        return any(host == known.rpartition(':')[0] for known in addresses)

    def _make_state(
        self, served: LocalTopic, offset: int, end: int
    ) -> TopicState:
        """Return the state without its records."""
        confirmation = served.freshness.confirmation
        is_whole = offset < served.copy.first
        return TopicState(
            (),
            0 if is_whole else min(offset, end),
            end,
            is_whole,
            max(0, self._now() - confirmation.at),
            confirmation.origin or self._peer_table.name,
            confirmation.hops,
        )

    def _find_body(self, topic: str, state: TopicState) -> bytes:
        """Return the encoded records; requests for the same share them."""
        key = (topic, state.start, state.end, state.is_whole)
        body = self._bodies.get(key)
        if body is None:
            copy = self._topics[topic].copy
            records = (
                copy.list_all()
                if state.is_whole
                else copy.list_from(state.start)
            )
            body = encode_body(dataclasses.replace(state, records=records))
            self._bodies[key] = body
            while len(self._bodies) > _MAX_BODIES:
                self._bodies.pop(next(iter(self._bodies)))
        return body

    def _refuse(self, status: HTTPStatus) -> web.Response:
        metrics.RELAY_ANSWERS.add(str(status.value))
        return web.Response(status=status)


async def _write(request: web.Request, response: web.Response) -> None:
    await response.prepare(request)
    await response.write_eof()


def _read_offset(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        return None
