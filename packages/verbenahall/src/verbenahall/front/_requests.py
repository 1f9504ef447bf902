"""The HTTP routes that take requests, from callers and from peers."""

from collections.abc import Callable
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall.errors import Problem
from verbenahall.forwarding import Hop, HopRefusal
from verbenahall.front._answers import REQUEST_ID_HEADER, build_error_response
from verbenahall.front._dependencies import Settings
from verbenahall.front._fleet import get_requirement
from verbenahall.front._hop_receiver import HopReceiver, refuse_hop
from verbenahall.front._hops import HOP_PATH
from verbenahall.front._messages import Call, RequestHead
from verbenahall.front._parse import read_model_call, read_service_call
from verbenahall.front._pipeline import RequestPipeline
from verbenahall.front._reader import RequestReader

_MODEL_PATHS: Final = ('/v1/completions', '/v1/chat/completions')


@final
class RequestHandler:
    """Reads requests and hands them to the pipeline.

    Without ``receiver`` no request of a peer is taken. On callers' paths the
    header of a hop means nothing.
    """

    __slots__ = ('_pipeline', '_read_settings', '_reader', '_receiver')

    def __init__(
        self,
        reader: RequestReader,
        read_settings: Callable[[], Settings],
        pipeline: RequestPipeline,
        receiver: HopReceiver | None,
    ) -> None:
        """Store the stages of a request."""
        self._pipeline = pipeline
        self._read_settings = read_settings
        self._reader = reader
        self._receiver = receiver

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for callers and that for peers."""
        for path in _MODEL_PATHS:
            app.router.add_post(path, self._handle_model_call)
        app.router.add_route(
            '*',
            '/services/{name}{tail:(/.*)?}',
            self._handle_service_call,
        )
        if self._receiver is not None:
            app.router.add_route(
                '*', f'{HOP_PATH}{{target:/.*}}', self._handle_forwarded
            )

    async def _handle_model_call(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        return await self._handle(request, request.path)

    async def _handle_service_call(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        return await self._handle(request, request.raw_path)

    async def _handle_forwarded(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Serve a request of a peer as this instance's own, or refuse it."""
        hop = await self._receiver.read_hop(request)
        if isinstance(hop, HopRefusal):
            return refuse_hop(request, hop)
        target = request.raw_path.removeprefix(HOP_PATH)
        with self._receiver.count_open():
            return await self._handle(request, target, hop)

    async def _handle(
        self, request: web.Request, target: str, hop: Hop | None = None
    ) -> web.StreamResponse:
        identity = request.headers.get(REQUEST_ID_HEADER, '') if hop else ''
        head = self._reader.read_head(request, identity)
        body = await self._reader.read_body(request)
        read = self._read_call(head, request, target, body)
        if isinstance(read, Failure):
            return build_error_response(read.failure(), head.request)
        call = read.unwrap()
        service, model, _ = get_requirement(call)
        if hop is not None:
            refusal = self._receiver.find_refusal(hop, get_requirement(call))
            if refusal is not None:
                return refuse_hop(request, refusal)
        lane = f'service:{service}' if service else f'model:{model}'
        return await self._pipeline.handle(lane, call, request, hop)

    def _read_call(
        self, head: RequestHead, request: web.Request, target: str, body: bytes
    ) -> Result[Call, Problem]:
        if target in _MODEL_PATHS:
            return read_model_call(head, target, body, self._reader.json_depth)
        services = self._read_settings().services
        return Success(read_service_call(head, request, target, body, services))
