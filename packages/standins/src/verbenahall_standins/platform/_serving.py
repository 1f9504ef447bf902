"""Starts an application on a loopback port."""

import dataclasses

from aiohttp import web


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
