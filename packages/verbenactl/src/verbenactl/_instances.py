"""Client of the administration API of instances."""

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, Final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import clock, wire
from verbenahall.errors import ErrorKind, Problem

#: Timeout of a call to an instance, in seconds.
_TIMEOUT_S: Final = 2.0
#: Pause between two polls of the instances' status, in seconds.
_POLL_S: Final = 0.05
_OK: Final = 200

Answer = Result[dict[str, Any], Problem]
#: Answers by the address of the instance.
Answers = Mapping[str, Answer]


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Instances that have applied an offset, and those that have not."""

    reached: tuple[str, ...]
    missing: tuple[str, ...]
    waited_s: float


class Instances:
    """Client of several instances with one token."""

    __slots__ = ('_addresses', '_headers', '_session')

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: Sequence[str],
        token: str,
    ) -> None:
        """Create a client of the instances at ``addresses`` (``IP:port``)."""
        self._session = session
        self._addresses = tuple(addresses)
        self._headers = {'Authorization': f'Bearer {token}'}

    async def fetch_all(
        self,
        view: str,
        query: Mapping[str, str] | None = None,
    ) -> Answers:
        """Fetch a view of ``/admin/v1`` from all instances concurrently."""
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
        """Fetch a view of ``/admin/v1`` from one instance."""
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
        """Wait up to ``wait_s`` until all instances have applied an offset."""
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
