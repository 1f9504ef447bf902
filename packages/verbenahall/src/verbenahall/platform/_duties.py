"""Calls to the platform that are the duty of one instance at a time."""

import asyncio
import dataclasses
import enum
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, final

import aiohttp

from verbenahall import journal, metrics, wire
from verbenahall.platform import _names as names
from verbenahall.platform._connections import CALL_FAILURES

#: Longest time for an answer, in seconds.
_ANSWER_S: Final = 1.0
#: Letters of an answer that go into the log.
_QUOTED: Final = 120


@final
class DutyOutcome(enum.Enum):
    """What became of a call.

    ``FENCED`` means that a higher token was seen, or, of an order for
    engines, that there are none. After ``UNKNOWN`` the call may still be
    carried out, seconds later.
    """

    DONE = 'done'
    FENCED = 'fenced'
    BUSY = 'busy'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


_OUTCOMES: Final[Mapping[int, DutyOutcome]] = MappingProxyType(
    {
        HTTPStatus.OK: DutyOutcome.DONE,
        HTTPStatus.CONFLICT: DutyOutcome.FENCED,
        HTTPStatus.TOO_MANY_REQUESTS: DutyOutcome.BUSY,
        HTTPStatus.SERVICE_UNAVAILABLE: DutyOutcome.BUSY,
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class Seal:
    """Under whose lease a call is made: the instance and its token."""

    holder: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleOrder:
    """How many engines of one kind a data centre should have."""

    data_centre: str
    engines: int
    spot: bool


@final
class DutyCalls:
    """Makes the calls; each one ends in one of a closed set of outcomes."""

    __slots__ = ('_base', '_session')

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Call the platform at ``address`` (IP and port)."""
        self._session = session
        self._base = f'http://{address}'

    async def report_usage(
        self,
        seal: Seal,
        window: int,
        counts: Mapping[str, int],
    ) -> DutyOutcome:
        """Tell how many requests of each workspace began in a window."""
        body = {'windowId': window, 'counts': dict(counts)}
        return await self._call(names.USAGE, seal, body)

    async def scale(
        self,
        seal: Seal,
        service: str,
        order: ScaleOrder,
    ) -> DutyOutcome:
        """Order so many engines of one kind in one data centre."""
        body = {
            'service': service,
            # The wire's zone is our data centre.
            'zone': order.data_centre,
            'desired': order.engines,
            'spot': order.spot,
        }
        return await self._call(names.SCALE, seal, body)

    async def _call(
        self,
        path: str,
        seal: Seal,
        body: dict[str, Any],
    ) -> DutyOutcome:
        headers = {
            'Content-Type': 'application/json',
            names.DUTY_HOLDER: seal.holder,
            names.DUTY_TOKEN: str(seal.token),
        }
        answer = ''
        try:
            async with asyncio.timeout(_ANSWER_S):
                async with self._session.post(
                    self._base + path,
                    data=wire.encode(body),
                    headers=headers,
                ) as response:
                    answer = (await response.read()).decode(errors='replace')
                    outcome = _OUTCOMES.get(
                        response.status,
                        DutyOutcome.REJECTED,
                    )
        except CALL_FAILURES as error:
            answer = repr(error)
            outcome = DutyOutcome.UNKNOWN
        metrics.DUTY_CALLS.add(path, outcome.value)
        journal.write_decision(
            'duty_call',
            call=path,
            token=seal.token,
            outcome=outcome.value,
            answer=answer[:_QUOTED],
        )
        return outcome
