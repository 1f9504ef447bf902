"""A plain endpoint that keeps nothing of what it receives."""

import asyncio
from typing import Final, final

from aiohttp import web

from verbenahall_standins.platform import Notices

_REQUEST_ID: Final = 'X-Verbenahall-Request-Id'
_STAMP: Final = 'X-Verbenahall-Server-Stamp'
#: The last part of a path whose answer is large.
_LARGE: Final = 'large'
_LARGE_BYTES: Final = 1_000_000


@final
class DiscardingEndpoint:
    """Answers each request at once when its body has ended.

    The answer to a path that ends in ``/large`` has a megabyte. ``started``
    is the number of requests so far.
    """

    def __init__(self, name: str) -> None:
        """Prepare; nothing listens before ``start``."""
        self.name = name
        self.notices = Notices()
        self.role = ''
        self.address = ''
        self.started = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._serve)
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0]
        self._runner = runner
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.Response:
        self.started += 1
        while await request.content.readany():
            await asyncio.sleep(0)
        body = b'page'
        if request.path.endswith(_LARGE):
            body = bytes(_LARGE_BYTES)
        headers = {_STAMP: f'stand-in-{self.name}'}
        identity = request.headers.get(_REQUEST_ID)
        if identity is not None:
            headers[_REQUEST_ID] = identity
        return web.Response(body=body, headers=headers)
