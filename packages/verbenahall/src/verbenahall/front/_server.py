"""Creates the application and the client sessions."""

from typing import Final

from aiohttp import (
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
    web,
)

from verbenahall.config import LimitsConfig

#: Time in seconds after which an idle pooled connection is closed.
_IDLE_CONNECTION_S: Final = 15.0


def make_application(limits: LimitsConfig) -> web.Application:
    """Create the application to which an instance adds its routes."""
    return web.Application(client_max_size=limits.body_bytes)


def make_session(*, single_use: bool = False) -> ClientSession:
    """Create a client session for calls to endpoints.

    With ``single_use`` each call opens a new connection. An endpoint may close
    a pooled connection while a request is being written to it. It is then
    unknown whether the request ran, and a call that must not be repeated would
    fail needlessly.
    """
    keepalive = None if single_use else _IDLE_CONNECTION_S
    return ClientSession(
        connector=TCPConnector(
            limit=0,
            force_close=single_use,
            keepalive_timeout=keepalive,
            use_dns_cache=False,
        ),
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=('Accept-Encoding', 'User-Agent'),
        timeout=ClientTimeout(total=None, sock_connect=1),
    )
