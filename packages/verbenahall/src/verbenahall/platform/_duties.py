"""Duty calls to the platform, made by one instance at a time."""

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
from verbenahall.bodies import format_error, read_body
from verbenahall.platform._connections import CALL_FAILURES

#: Timeout of a call, in seconds.
_ANSWER_TIMEOUT_S: Final = 1.0
#: Longest answer, in bytes.
_MAX_BYTES: Final = 16_384
#: Characters of an answer that are logged.
_MAX_LOGGED_CHARS: Final = 120


@final
class DutyOutcome(enum.Enum):
    """The outcome of a duty call.

    ``FENCED`` means that the platform has seen a higher fencing token, or,
    for a scale order, that no engines of that kind are available. After
    ``UNKNOWN`` the call may still be carried out, seconds later.
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
class LeaseToken:
    """The lease under which a call is made: holder and fencing token."""

    holder: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleOrder:
    """The desired number of spot or on-demand engines in a data centre."""

    data_centre: str
    engines: int
    spot: bool


@final
class DutyClient:
    """Client of the duty calls; each call returns a ``DutyOutcome``."""

    __slots__ = ('_base', '_session')

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use ``session`` for calls to ``address`` (``IP:port``)."""
        self._session = session
        self._base = f'http://{address}'

    async def report_usage(
        self,
        lease_token: LeaseToken,
        window: int,
        counts: Mapping[str, int],
    ) -> DutyOutcome:
        """Report the requests of each workspace that began in a window."""
        body = {'windowId': window, 'counts': dict(counts)}
        return await self._call(names.USAGE, lease_token, body)

    async def scale(
        self,
        lease_token: LeaseToken,
        service: str,
        order: ScaleOrder,
    ) -> DutyOutcome:
        """Order engines of a service in a data centre."""
        body = {
            'service': service,
            # The platform calls a data centre a zone.
            'zone': order.data_centre,
            'desired': order.engines,
            'spot': order.spot,
        }
        return await self._call(names.SCALE, lease_token, body)

    async def _call(
        self,
        path: str,
        lease_token: LeaseToken,
        body: dict[str, Any],
    ) -> DutyOutcome:
        headers = {
            'Content-Type': 'application/json',
            names.DUTY_HOLDER: lease_token.holder,
            names.DUTY_TOKEN: str(lease_token.token),
        }
        answer = ''
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                async with self._session.post(
                    self._base + path,
                    data=wire.encode(body),
                    headers=headers,
                ) as response:
                    read = await read_body(response, _MAX_BYTES)
                    answer = read.decode(errors='replace')
                    outcome = _OUTCOMES.get(
                        response.status,
                        DutyOutcome.REJECTED,
                    )
        except CALL_FAILURES as error:
            answer = format_error(error)
            outcome = DutyOutcome.UNKNOWN
        metrics.DUTY_CALLS.add(path, outcome.value)
        journal.write_decision(
            'duty_call',
            call=path,
            token=lease_token.token,
            outcome=outcome.value,
            answer=answer[:_MAX_LOGGED_CHARS],
        )
        return outcome
