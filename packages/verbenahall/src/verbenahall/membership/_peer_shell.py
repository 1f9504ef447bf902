"""Sends and receives heartbeats between instances over HTTP."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

from aiohttp import ClientError, ClientSession, ClientTimeout, hdrs, web
from returns.result import Failure, Result, Success

from verbenahall import clock
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Endpoint
from verbenahall.membership._codec import decode_heartbeat, encode_heartbeat
from verbenahall.membership._decisions import find_endpoint, observe_failure
from verbenahall.membership._messages import Heartbeat, InstanceStatus
from verbenahall.membership._peers import (
    apply_heartbeat,
    build_heartbeat,
    choose_peers,
    list_peers,
)
from verbenahall.membership._state import MembershipState

_PATH: Final = '/peer/v1/heartbeat'
_TIMEOUT: Final = ClientTimeout(total=1)
#: Recipients of one heartbeat. Through the answers an update reaches all
#: instances of a data centre in a few rounds, and the traffic of an instance
#: does not grow with their number.
_FAN_OUT: Final = 2
_FAN_OUT_LEAVING: Final = 8
#: Time in seconds for which an instance keeps its recipients.
_EPOCH_S: Final = 8
_JITTER: Final = (0.8, 1.2)
_MAX_HEARTBEAT_BYTES: Final = 16_384
#: Headers that peers don't use; they would be half of a heartbeat's bytes.
_SKIPPED_REQUEST_HEADERS: Final = (
    hdrs.USER_AGENT,
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.CONTENT_TYPE,
)
_DROPPED_RESPONSE_HEADERS: Final = (hdrs.CONTENT_TYPE, hdrs.DATE, hdrs.SERVER)


@final
class PeerExchange:
    """Exchanges heartbeats within a data centre.

    ``local`` is this instance as the list shows it, ``report`` returns its
    readiness and settings offset.
    """

    def __init__(
        self,
        session: ClientSession,
        state: MembershipState,
        local: Endpoint,
        report: Callable[[], InstanceStatus],
        period_s: float,
        now: clock.Clock = clock.monotonic,
    ) -> None:
        """Send heartbeats over ``session`` every ``period_s`` seconds."""
        self._session = session
        self._state = state
        self._local = local
        self._report = report
        self._period_s = period_s
        self._now = now
        self._leaving = False
        self._rng = random.Random(f'{local.name}/{local.incarnation}')

    def add_routes(self, app: web.Application) -> None:
        """Receive heartbeats on the instance's port."""
        app.router.add_post(_PATH, self._handle_heartbeat)
        app.on_response_prepare.append(_strip_headers)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            epoch = int(self._now() / _EPOCH_S)
            await self._send_to(self._choose_recipients(epoch, _FAN_OUT))
            jitter = self._rng.uniform(*_JITTER)
            await asyncio.sleep(self._period_s * jitter)

    async def announce_leaving(self) -> None:
        """Announce to peers that this instance leaves; called on shutdown."""
        self._leaving = True
        await self._send_to(self._choose_recipients(0, _FAN_OUT_LEAVING))

    def _choose_recipients(self, epoch: int, count: int) -> list[str]:
        names = list_peers(
            self._state,
            self._local.name,
            self._local.data_centre,
            self._now(),
        )
        return choose_peers(self._local.name, names, epoch, count)

    async def _send_to(self, names: list[str]) -> None:
        body = encode_heartbeat(self._build_heartbeat())
        await asyncio.gather(*(self._send(name, body) for name in names))

    async def _send(self, name: str, body: bytes) -> None:
        peer = find_endpoint(self._state, name)
        if peer is None:
            return
        match await self._post(peer, body):
            case Success(heartbeat) if heartbeat.sender == name:
                apply_heartbeat(self._state, heartbeat, self._now())
            case _:
                observe_failure(self._state, name, self._now())

    async def _post(
        self,
        peer: Endpoint,
        body: bytes,
    ) -> Result[Heartbeat, Problem]:
        try:
            async with self._session.post(
                f'http://{peer.address}{_PATH}',
                data=body,
                timeout=_TIMEOUT,
                skip_auto_headers=_SKIPPED_REQUEST_HEADERS,
            ) as answer:
                answer.raise_for_status()
                return decode_heartbeat(await answer.read())
        except (ClientError, OSError, TimeoutError) as error:
            return Failure(Problem(ErrorKind.ENDPOINT_FAILED, repr(error)))

    def _build_heartbeat(self) -> Heartbeat:
        return build_heartbeat(
            self._state,
            (self._local.name, self._local.incarnation),
            self._report(),
            self._now(),
            leaving=self._leaving,
        )

    async def _handle_heartbeat(self, request: web.Request) -> web.Response:
        length = request.content_length
        if length is None or length > _MAX_HEARTBEAT_BYTES:
            raise web.HTTPRequestEntityTooLarge(
                _MAX_HEARTBEAT_BYTES, length or 0
            )
        match decode_heartbeat(await request.read()):
            case Success(heartbeat) if self._is_peer(heartbeat.sender, request):
                apply_heartbeat(self._state, heartbeat, self._now())
                return web.Response(
                    body=encode_heartbeat(self._build_heartbeat())
                )
            case Success():
                raise web.HTTPForbidden()
            case _:
                raise web.HTTPBadRequest()

    def _is_peer(self, sender: str, request: web.Request) -> bool:
        """Check that a heartbeat comes from an instance of the list.

        Otherwise any process that reaches the port could announce that all
        engines leave, and callers would find none.
        """
        peer = find_endpoint(self._state, sender)
        if peer is None:
            return False
        return peer.address.rpartition(':')[0] == request.remote


async def _strip_headers(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Remove response headers that peers don't use."""
    if request.path == _PATH:
        for name in _DROPPED_RESPONSE_HEADERS:
            response.headers.pop(name, None)
