"""How the application and the client sessions are made."""

from typing import Final

from aiohttp import (
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
    web,
)

from verbenahall.config import LimitsConfig

_IDLE_CONNECTION_S: Final = 15.0


def make_application(limits: LimitsConfig) -> web.Application:
    """Make the application that all routes of an instance are added to."""
    return web.Application(client_max_size=limits.body_bytes)


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
