"""Reads a caller's request within its bounds."""

import asyncio
from typing import final

from aiohttp import web
from returns.result import Failure

from verbenahall.clock import Clock
from verbenahall.config import LimitsConfig
from verbenahall.errors import ErrorKind, Problem, ProblemError
from verbenahall.front._messages import Head
from verbenahall.front._parse import read_head
from verbenahall.requests import AttemptNames


@final
class Reader:
    """Reads heads and bodies, and names the requests."""

    def __init__(
        self,
        limits: LimitsConfig,
        names: AttemptNames,
        clock: Clock,
    ) -> None:
        """Keep the bounds."""
        self._limits = limits
        self._names = names
        self._clock = clock

    def read_head(self, request: web.Request) -> Head:
        """Check the headers, or raise the problem with them."""
        read = read_head(
            request.headers,
            self._names.next_name(),
            self._limits.default_deadline_s,
            self._clock(),
        )
        if isinstance(read, Failure):
            raise ProblemError(read.failure())
        return read.unwrap()

    async def read_body(self, request: web.Request) -> bytes:
        """Read the body within its time; a slow sender is let go."""
        try:
            async with asyncio.timeout(self._limits.body_timeout_s):
                return await request.read()
        except TimeoutError:
            problem = Problem(
                ErrorKind.REQUEST_TIMEOUT,
                'the body did not arrive in time',
            )
            raise ProblemError(problem) from None
