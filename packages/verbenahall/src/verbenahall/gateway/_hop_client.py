"""Sends calls to peers and passes their answers on."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final, final

import aiohttp
import yarl
from aiohttp.web import StreamResponse
from returns.result import Failure, Result, Success

from verbenahall import journal
from verbenahall.forwarding import (
    HOP_HEADER,
    REFUSED_HEADER,
    VERSION_HEADER,
    ChosenPeer,
    Hop,
    encode_hop,
)
from verbenahall.gateway._answers import build_answer_response
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered, Call
from verbenahall.gateway._relay import EventRelay
from verbenahall.hedging import Branch, Stage
from verbenahall.platform import (
    CALL_FAILURES,
    CONNECT_FAILURES,
    build_forward_headers,
    describe_error,
    format_error,
    read_answer_head,
    read_held_body,
    strip_hop_headers,
)
from verbenahall.requests import (
    Broken,
    NeverWritten,
    Outcome,
    Refused,
    Stopping,
    TimedOut,
)

#: Statuses of an instance which state that a request has not run.
_NOT_RUN: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
#: The answer for the caller, or why there is none.
Forwarded = Result[StreamResponse, Outcome]


@final
class HopClient:
    """Sends calls to peers and classifies the outcomes.

    A peer that refuses with ``REFUSED_HEADER`` has not run the call. All other
    answers are final, whatever their status.
    """

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Send through the HTTP session of the core."""
        self._core = core

    async def send(
        self,
        attempts: Attempts,
        peer: ChosenPeer,
        branch: Branch,
        relay: EventRelay | None,
    ) -> Forwarded:
        """Send a call to a peer; return its answer.

        With ``relay`` a stream is relayed as it arrives.
        """
        call = attempts.call
        hop = self._make_hop(attempts, relay)
        last_event = relay.state.last if relay else call.head.last_event
        async with self._open(call, peer, hop, last_event) as opened:
            match opened:
                case Success(response):
                    branch.enter(Stage.RUNNING)
                    return await self._pass_on(
                        attempts, response, branch, relay
                    )
                case _:
                    return opened

    @contextlib.asynccontextmanager
    async def _open(
        self,
        call: Call,
        peer: ChosenPeer,
        hop: Hop,
        last_event: int | None,
    ) -> AsyncIterator[Result[aiohttp.ClientResponse, Outcome]]:
        """Send a call and yield the response once its head has arrived.

        Leaving the context early closes the connection, which signals to the
        peer that the caller no longer waits for the answer.
        """
        await call.end_if_left('hop')
        left_s = call.left_s(self._core.now())
        if not self._core.bears(call.route.name, left_s):
            yield Failure(Stopping())
            return
        headers = build_forward_headers(call.raw_headers, left_s, last_event)
        headers[HOP_HEADER] = encode_hop(hop)
        request = self._core.session.request(
            call.method,
            yarl.URL(f'http://{peer.address}{call.path}', encoded=True),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        )
        response = None
        try:
            async with asyncio.timeout(left_s):
                response = await request
        except CALL_FAILURES as error:
            yield Failure(self._classify(call, error))
        else:
            yield _check_refusal(response)
        finally:
            if response is not None:
                response.close()

    async def _pass_on(
        self,
        attempts: Attempts,
        response: aiohttp.ClientResponse,
        branch: Branch,
        relay: EventRelay | None,
    ) -> Forwarded:
        """Relay a stream, or return another answer whole."""
        call = attempts.call
        if attempts.runs and _is_refusal(response):
            # It would state that the call has not run, which an earlier attempt
            # may have done.
            return Failure(Refused(response.status))
        if relay is not None and response.status == HTTPStatus.OK:
            reading = _relay_stream(attempts, response, branch, relay)
        elif _is_overtaken(branch, relay, response.status):
            # A second answer on the caller's connection would be no HTTP, and
            # another peer may still have the stream.
            detail = f'status {response.status}'
            return Failure(Broken(detail, answered=True))
        else:
            reading = self._read_whole(response)
        left_s = call.left_s(self._core.now())
        try:
            async with asyncio.timeout(left_s):
                return await reading
        except ConnectionResetError:
            # Raised when the caller's connection broke.
            raise
        except CALL_FAILURES as error:
            return Failure(self._classify(call, error))

    async def _read_whole(self, response: aiohttp.ClientResponse) -> Forwarded:
        body, held = await read_held_body(response, self._core.byte_budget)
        return Success(
            build_answer_response(
                Answered(
                    response.status,
                    response.reason or '',
                    strip_hop_headers(response.raw_headers),
                    body,
                    held,
                ),
            ),
        )

    def _make_hop(self, attempts: Attempts, relay: EventRelay | None) -> Hop:
        call = attempts.call
        return Hop(
            self._core.settings.name,
            call.version,
            call.service.name,
            attempts.runs,
            attempts.is_charged,
            call.is_counted,
            attempts.is_metered,
            call.waited_s,
            relay.state.version if relay else None,
        )

    def _classify(self, call: Call, error: BaseException) -> Outcome:
        journal.write_decision(
            'hop_error',
            request=call.head.identity,
            error=format_error(error),
        )
        if isinstance(error, CONNECT_FAILURES):
            return NeverWritten(describe_error(error))
        is_timeout = isinstance(error, TimeoutError)
        if is_timeout and call.is_over(self._core.now()):
            return TimedOut()
        return Broken(describe_error(error))


def _check_refusal(
    response: aiohttp.ClientResponse,
) -> Result[aiohttp.ClientResponse, Outcome]:
    if REFUSED_HEADER in response.headers:
        return Failure(Refused(response.status))
    return Success(response)


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Whether the peer states, and no endpoint does, that nothing has run."""
    answer_head = read_answer_head(response.status, response.headers)
    return response.status in _NOT_RUN and not answer_head.signed


def _is_overtaken(
    branch: Branch, relay: EventRelay | None, status: int
) -> bool:
    failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    has_begun = relay is not None and relay.begun
    return has_begun or (failed and not branch.is_alone)


async def _relay_stream(
    attempts: Attempts,
    response: aiohttp.ClientResponse,
    branch: Branch,
    relay: EventRelay,
) -> Forwarded:
    # An instance of an earlier version of this system states none. Then the
    # next peer has to find it.
    stated = response.headers.get(VERSION_HEADER)
    # The peer itself resumes a stream that stalls.
    await relay.pump(
        response,
        branch,
        functools.partial(_record_first_event, attempts, relay, stated),
        _ignore_bytes,
    )
    finished = await relay.finish()
    if finished is None:
        return Failure(Broken('the stream had no events'))
    return Success(finished)


def _record_first_event(
    attempts: Attempts, relay: EventRelay, version: str | None
) -> None:
    """Record the version of a stream whose usage the peer has counted."""
    attempts.is_metered = True
    relay.state.begin(version)


def _ignore_bytes() -> None:
    """Do nothing: the peer itself watches its endpoint."""
