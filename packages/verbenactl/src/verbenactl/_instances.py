"""Reads the administration API of instances."""

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, Final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import clock, wire
from verbenahall.errors import ErrorKind, Problem

_TIMEOUT_S: Final = 2.0
_POLL_S: Final = 0.05
_OK: Final = 200

Answer = Result[dict[str, Any], Problem]
#: Each instance's address and what it answered.
Answers = Mapping[str, Answer]


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Which instances have applied an offset, after how many seconds."""

    reached: tuple[str, ...]
    missing: tuple[str, ...]
    waited_s: float


class Instances:
    """The instances at some addresses, asked under one token."""

    __slots__ = ('_addresses', '_headers', '_session')

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: Sequence[str],
        token: str,
    ) -> None:
        """Ask the instances at ``addresses`` (``IP:port``)."""
        self._session = session
        self._addresses = tuple(addresses)
        self._headers = {'Authorization': f'Bearer {token}'}

    async def fetch_all(
        self,
        view: str,
        query: Mapping[str, str] | None = None,
    ) -> Answers:
        """Ask every instance at once for a view of ``/admin/v1``."""
        answers = await asyncio.gather(
            *(self.fetch(address, view, query) for address in self._addresses),
        )
        return dict(zip(self._addresses, answers, strict=True))

    async def fetch(
        self,
        address: str,
        view: str,
        query: Mapping[str, str] | None = None,
    ) -> Answer:
        """Ask one instance for a view of ``/admin/v1``."""
        try:
            async with self._session.get(
                f'http://{address}/admin/v1/{view}',
                params=query or {},
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as answer:
                body = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            detail = str(error) or type(error).__name__
            return _fail(f'{address}: {detail}')
        if status != _OK:
            refusal = body.decode(errors='replace')
            return _fail(f'{address}: answered {status} {refusal}')
        return wire.decode_table(body)

    async def wait_in_force(self, offset: int, wait_s: float) -> InForce:
        """Wait until every instance has applied a settings offset."""
        started = clock.monotonic()
        while True:
            reached = await self._list_reached(offset)
            missing = tuple(
                address for address in self._addresses if address not in reached
            )
            waited_s = clock.monotonic() - started
            if not missing or waited_s >= wait_s:
                return InForce(reached, missing, waited_s)
            await asyncio.sleep(_POLL_S)

    async def _list_reached(self, offset: int) -> tuple[str, ...]:
        statuses = await self.fetch_all('status')
        return tuple(
            address
            for address, status in statuses.items()
            if isinstance(status, Success)
            and status.unwrap()['settings_position'] >= offset
        )


def _fail(message: str) -> Answer:
    return Failure(Problem(ErrorKind.ENDPOINT_FAILED, message))
