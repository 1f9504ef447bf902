"""Runs the web application of a stand-in until SIGTERM."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Final

import uvloop
from aiohttp import web

_HOST: Final = '127.0.0.1'
_SHUTDOWN_TIMEOUT_S: Final = 0.2
_MAX_BODY_BYTES: Final = 64_000_000

Build = Callable[[argparse.Namespace], web.Application]


def new_application() -> web.Application:
    """Return an empty application that accepts large request bodies."""
    return web.Application(client_max_size=_MAX_BODY_BYTES)


def new_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0)
    return parser


def serve(build: Build, options: argparse.Namespace) -> None:
    """Serve until SIGTERM; print ``listening IP:port`` once ready."""
    uvloop.run(_serve(build, options))


async def _serve(build: Build, options: argparse.Namespace) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    runner = web.AppRunner(
        build(options),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, _HOST, options.port).start()
    port = runner.addresses[0][1]
    sys.stdout.write(f'listening {_HOST}:{port}\n')
    sys.stdout.flush()
    await stopped.wait()
    await runner.cleanup()
