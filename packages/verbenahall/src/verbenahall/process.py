"""What every process of the product needs: a listener and a loop."""

from typing import Final, Protocol

import aiomisc
import uvloop
from aiohttp import web

#: Waiting connections that the kernel keeps while the loop is busy.
_BACKLOG: Final = 1024


class EndingService(Protocol):
    """A service of aiomisc that tells when the process may exit."""

    async def wait(self) -> None:
        """Wait until the process may exit."""


async def listen(runner: web.AppRunner, address: str) -> web.TCPSite:
    """Set a runner up and have it listen on ``IP:port``."""
    host, _, port = address.rpartition(':')
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=_BACKLOG)
    await site.start()
    return site


def run_service(service: EndingService, shutdown_timeout: float) -> None:
    """Run a service until it has ended; the timeout is in seconds."""
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
