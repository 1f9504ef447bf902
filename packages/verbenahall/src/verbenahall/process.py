"""Shared by the server processes: listening and running a service."""

import contextlib
import ctypes
import socket
from typing import Final, Protocol

import aiomisc
import uvloop
from aiohttp import web

from verbenahall.buffers import CROWD_BUFFER_BYTES, SEND_BUFFER_BYTES

#: Connections that the kernel queues while the event loop is busy.
_BACKLOG: Final = 1024
#: The option of glibc's ``mallopt``, and the size that it gets: that of a piece
#: of a body that is read at a time.
_MMAP_THRESHOLD: Final = -3
_LARGE_BLOCK_BYTES: Final = 32_768


class StoppableService(Protocol):
    """A service of aiomisc that can be awaited until it has stopped."""

    async def wait(self) -> None:
        """Wait until the service has stopped and the process may exit."""


async def listen(runner: web.AppRunner, address: str) -> web.SockSite:
    """Set up a runner and listen on ``IP:port``."""
    await runner.setup()
    site = web.SockSite(runner, open_listener(address), backlog=_BACKLOG)
    await site.start()
    return site


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``IP:port``, with bounded buffers.

    The connections that it accepts inherit its options.
    """
    host, _, port = address.rpartition(':')
    listening = socket.create_server((host, int(port)), backlog=_BACKLOG)
    for option, size in (
        (socket.SO_RCVBUF, CROWD_BUFFER_BYTES),
        (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
    ):
        listening.setsockopt(socket.SOL_SOCKET, option, size)
    listening.setblocking(False)
    return listening


def bound_heap() -> None:
    """Have large blocks of memory returned to the system when they are freed.

    The C library raises the size from which it does so with each block that is
    freed, and keeps blocks of the size of bodies in its heap. Other libraries
    than glibc have no such setting.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)


def run_service(service: StoppableService, shutdown_timeout: float) -> None:
    """Run a service until it has stopped; the timeout is in seconds."""
    bound_heap()
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
