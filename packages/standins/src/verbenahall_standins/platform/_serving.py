"""Starts an application on a loopback port."""

import dataclasses
from typing import Final

from aiohttp import web


_REQUEST_ID: Final = 'X-Verbenahall-Request-Id'


def echo_request_ids(app: web.Application) -> None:
    """Have all answers of an endpoint bear the id of their request."""
    app.on_response_prepare.append(_add_request_id)


async def _add_request_id(
    request: web.Request, response: web.StreamResponse
) -> None:
    found = request.headers.get(_REQUEST_ID)
    if found is not None:
        response.headers.setdefault(_REQUEST_ID, found)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningApp:
    """A running application and its address, ``127.0.0.1:port``."""

    runner: web.AppRunner
    address: str


async def listen(app: web.Application, port: int = 0) -> RunningApp:
    """Serve an application on a port, 0 for a free one.

    A handler is cancelled when its connection is closed.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0.1,
    )
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', port)
    await site.start()
    host, port = runner.addresses[0]
    return RunningApp(runner, f'{host}:{port}')
