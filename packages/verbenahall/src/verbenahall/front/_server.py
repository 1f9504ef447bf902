"""How the HTTP server and the client sessions are made."""

from typing import Any, Final

from aiohttp import (
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
    web,
)

from verbenahall.config import LimitsConfig
from verbenahall.front._answers import guard

_KEEPALIVE_S: Final = 75.0
_IDLE_CONNECTION_S: Final = 15.0
#: How long the rest of a refused body is read, so that its sender can read
#: the answer before the connection is reset.
_LINGER_S: Final = 1.0


def make_application(limits: LimitsConfig) -> web.Application:
    """Make the application that all routes of an instance are added to."""
    return web.Application(
        client_max_size=limits.body_bytes,
        middlewares=(guard,),
    )


def runner_options(limits: LimitsConfig) -> dict[str, Any]:
    """Return the keyword arguments for ``web.AppRunner``.

    Handlers are cancelled when their caller goes away, which is how the
    engine's work for nobody gets cancelled.
    """
    return {
        'handler_cancellation': True,
        'access_log': None,
        'keepalive_timeout': _KEEPALIVE_S,
        'lingering_time': _LINGER_S,
        'max_line_size': limits.header_bytes,
        'max_field_size': limits.header_bytes,
    }


def make_session(*, fresh: bool = False) -> ClientSession:
    """Make a client session towards endpoints.

    With ``fresh`` each call gets a connection of its own. A kept connection
    may be closed by the endpoint just while a request is written to it; then
    nobody knows whether it ran, and a call that must not be repeated would
    fail for nothing.
    """
    keepalive = None if fresh else _IDLE_CONNECTION_S
    return ClientSession(
        connector=TCPConnector(
            limit=0,
            force_close=fresh,
            keepalive_timeout=keepalive,
            use_dns_cache=False,
        ),
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=('Accept-Encoding', 'User-Agent'),
        timeout=ClientTimeout(total=None, sock_connect=1),
    )
