"""HTTP client for peers that serve requests of this instance."""

import asyncio
import contextlib
from http import HTTPStatus
from typing import Final, final

from aiohttp import ClientResponse, web
from returns.result import Failure, Result, Success
from yarl import URL

from verbenahall.bodies import read_body
from verbenahall.clock import Clock
from verbenahall.forwarding import (
    HOP_HEADER,
    REFUSED_HEADER,
    ChosenPeer,
    Hop,
    encode_hop,
)
from verbenahall.front._answers import REQUEST_ID_HEADER
from verbenahall.front._endpoints import (
    CLIENT_ERRORS,
    Sessions,
    build_headers,
    classify_error,
)
from verbenahall.front._engines import OpenStream
from verbenahall.front._messages import Call, ModelCall, ServiceCall
from verbenahall.front._relay import StreamRelay
from verbenahall.requests import Broken, Outcome, Refused, TimedOut

#: Prefix of the paths at which instances receive requests of peers.
HOP_PATH: Final = '/peer/v1/requests'
_JSON: Final = 'application/json'
#: Bytes of a peer's whole answer at most.
_MAX_ANSWER_BYTES: Final = 16_777_216
#: Headers of an answer that are passed on to the caller.
_PASSED_HEADERS: Final = ('Content-Type', 'Retry-After')
#: Statuses of an instance which state that a request has not run.
_NOT_RUN: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


@final
class HopClient:
    """Sends requests to peers and passes their answers on.

    A peer that refuses with ``REFUSED_HEADER`` has not run the request. All
    other answers are final, whatever their status.
    """

    __slots__ = ('_clock', '_sessions')

    def __init__(self, sessions: Sessions, clock: Clock) -> None:
        """Store the sessions."""
        self._clock = clock
        self._sessions = sessions

    async def send(
        self,
        peer: ChosenPeer,
        call: Call,
        hop: Hop,
        relay: StreamRelay | None,
    ) -> Result[web.StreamResponse, Outcome]:
        """Send a request within its deadline; return the answer of the peer.

        With ``relay`` a stream is relayed as it arrives.
        """
        left_s = call.head.deadline - self._clock()
        try:
            async with asyncio.timeout(left_s):
                opened = await self._open(peer, call, hop, left_s)
                if isinstance(opened, Failure):
                    return opened
                # Leaving early closes the connection, which signals to the
                # peer that the caller no longer waits.
                with contextlib.closing(opened.unwrap()) as answer:
                    return await _pass_on(call, hop, answer, relay)
        except TimeoutError:
            return Failure(TimedOut())

    async def _open(
        self, peer: ChosenPeer, call: Call, hop: Hop, left_s: float
    ) -> Result[ClientResponse, Outcome]:
        method, target, content_type, accept = _describe_call(call)
        head = call.head
        headers = build_headers(head, head.request, content_type, left_s)
        headers['Accept'] = accept
        headers['X-Workspace'] = head.ticket.workspace
        headers[REQUEST_ID_HEADER] = head.request
        headers[HOP_HEADER] = encode_hop(hop)
        session = self._sessions.select(repeatable=call.repeatable)
        try:
            answer = await session.request(
                method,
                URL(f'http://{peer.address}{HOP_PATH}{target}', encoded=True),
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
            )
        except CLIENT_ERRORS as error:
            return Failure(classify_error(error))
        return Success(answer)


def _describe_call(call: Call) -> tuple[str, str, str, str]:
    """Return a call's method, path, content type and accepted types."""
    match call:
        case ModelCall():
            return 'POST', call.path, _JSON, '*/*'
        case ServiceCall():
            target = f'/services/{call.service}{call.target}'
            return call.method, target, call.content_type, call.accept


async def _pass_on(
    call: Call,
    hop: Hop,
    answer: ClientResponse,
    relay: StreamRelay | None,
) -> Result[web.StreamResponse, Outcome]:
    # A refusal of another kind states that the request has not run, which an
    # earlier attempt may have done.
    is_hidden = hop.runs and answer.status in _NOT_RUN
    if is_hidden or REFUSED_HEADER in answer.headers:
        return Failure(Refused(answer.status))
    if relay is not None and answer.status == HTTPStatus.OK:
        return await relay.pass_on(OpenStream(answer))
    if relay is not None and relay.response is not None:
        # A second answer on the caller's connection would be no HTTP.
        return Failure(Broken(f'status {answer.status}', answered=True))
    return await _read_whole(call, answer)


async def _read_whole(
    call: Call, answer: ClientResponse
) -> Result[web.StreamResponse, Outcome]:
    try:
        body = await read_body(answer, _MAX_ANSWER_BYTES)
    except CLIENT_ERRORS as error:
        return Failure(classify_error(error))
    headers = {
        name: answer.headers[name]
        for name in _PASSED_HEADERS
        if name in answer.headers
    }
    headers[REQUEST_ID_HEADER] = call.head.request
    return Success(
        web.Response(status=answer.status, body=body, headers=headers)
    )
