"""Reads requests within their limits."""

import asyncio
from typing import final

from aiohttp import web
from returns.result import Failure

from verbenahall.clock import Clock
from verbenahall.config import LimitsConfig
from verbenahall.errors import ErrorKind, Problem, ProblemError
from verbenahall.front._bodies import read_request_body
from verbenahall.front._messages import RequestHead
from verbenahall.front._parse import read_head
from verbenahall.requests import AttemptIds


@final
class RequestReader:
    """Reads request heads and bodies, and assigns request IDs."""

    def __init__(
        self,
        limits: LimitsConfig,
        ids: AttemptIds,
        clock: Clock,
    ) -> None:
        """Store the limits and the source of request IDs."""
        self._limits = limits
        self._ids = ids
        self._clock = clock
        self.json_depth = limits.json_depth

    def read_head(
        self, request: web.Request, identity: str = ''
    ) -> RequestHead:
        """Parse the headers; raise ``ProblemError`` if they are invalid.

        A request of a peer keeps the ``identity`` that the peer gave it.
        """
        read = read_head(
            request.headers,
            identity or self._ids.next_id(),
            self._limits.default_deadline_s,
            self._clock(),
        )
        if isinstance(read, Failure):
            raise ProblemError(read.failure())
        return read.unwrap()

    async def read_body(self, request: web.Request) -> bytes:
        """Read the body; raise ``ProblemError`` beyond its limits."""
        timeout_s = self._limits.body_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                read = await read_request_body(
                    request, self._limits.body_bytes, timeout_s
                )
        except TimeoutError:
            problem = Problem(
                ErrorKind.REQUEST_TIMEOUT,
                'the body did not arrive in time',
            )
            raise ProblemError(problem) from None
        if isinstance(read, Failure):
            raise ProblemError(read.failure())
        return read.unwrap()
