"""Shared by the server processes: listening and running a service."""

from typing import Final, Protocol

import aiomisc
import uvloop
from aiohttp import web

#: Connections that the kernel queues while the event loop is busy.
_BACKLOG: Final = 1024


class StoppableService(Protocol):
    """A service of aiomisc that can be awaited until it has stopped."""

    async def wait(self) -> None:
        """Wait until the service has stopped and the process may exit."""


async def listen(runner: web.AppRunner, address: str) -> web.TCPSite:
    """Set up a runner and listen on ``IP:port``."""
    host, _, port = address.rpartition(':')
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=_BACKLOG)
    await site.start()
    return site


def run_service(service: StoppableService, shutdown_timeout: float) -> None:
    """Run a service until it has stopped; the timeout is in seconds."""
    entrypoint = aiomisc.entrypoint(
        service,
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
        pool_size=1,
        shutdown_timeout=shutdown_timeout,
    )
    with entrypoint as loop:
        loop.run_until_complete(service.wait())
