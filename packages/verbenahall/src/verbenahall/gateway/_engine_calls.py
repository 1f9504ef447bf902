"""Control calls to engines: reports, role orders, freeing of handles."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import Final, final

import aiohttp
from returns.maybe import Maybe, Nothing

from verbenahall import journal
from verbenahall.errors import VerbenahallError
from verbenahall.endpoint_health import EndpointNotices
from verbenahall.platform import (
    CALL_FAILURES,
    EXPECT_ENDPOINT,
    ORDER,
    REPORT,
    EngineReport,
    RoleOrder,
    decode_report,
    encode_order,
    format_error,
    format_handle_path,
    read_answer_head,
    read_body,
)
from verbenahall.roster import Entry

#: Timeout of one call, in seconds. Engines answer these calls within
#: milliseconds, and one that does not is polled again later.
_CALL_S: Final = 1.0
#: Longest answer of a call, in bytes: a report lists the runs of an engine.
_MAX_BYTES: Final = 262_144
_NO_HEADERS: Final[Mapping[str, str]] = MappingProxyType({})
#: Longest backoff of an engine after which a handle is still freed, in seconds.
#: A handle that nobody fetches expires by itself about then.
_MAX_FREE_DELAY_S: Final = 5.0


@final
class BackingOffError(VerbenahallError):
    """The engine has requested a backoff, so it was not called."""


#: Exceptions of a call that was not made or has no complete answer.
_FAILURES: Final = (*CALL_FAILURES, BackingOffError)


@final
class EngineCalls:
    """Makes the calls; a failure is logged and gives an empty result.

    An engine that has requested a backoff gets no call until its end.
    """

    __slots__ = ('_notices', '_session')

    def __init__(
        self, session: aiohttp.ClientSession, notices: EndpointNotices
    ) -> None:
        """Call through ``session``; record the heads of answers."""
        self._notices = notices
        self._session = session

    async def fetch_report(self, engine: Entry) -> Maybe[EngineReport]:
        """Fetch an engine's report; Nothing if the call failed."""
        answer = self._call('GET', engine, REPORT)
        try:
            async with answer as response:
                report = decode_report(await read_body(response, _MAX_BYTES))
        except _FAILURES as error:
            _log_failure('report_failed', engine, error)
            return Nothing
        if report.map(lambda found: found.leaving).value_or(False):
            self._notices.record_leaving(engine, 'report')
        return report

    async def send_order(self, engine: Entry, order: RoleOrder) -> int | None:
        """Send a role order; return the HTTP status.

        None if the call failed, so that the engine may have the order or not.
        """
        headers = {
            'Content-Type': 'application/json',
            EXPECT_ENDPOINT: engine.name,
        }
        body = encode_order(order)
        answer = self._call('POST', engine, ORDER, body, headers)
        try:
            async with answer as response:
                await read_body(response, _MAX_BYTES)
                return response.status
        except _FAILURES as error:
            _log_failure('order_unanswered', engine, error)
        return None

    async def free_handle(self, engine: Entry, handle: str) -> None:
        """Free KV cache that will not be fetched."""
        backoff_s = self._notices.find_backoff_s(engine)
        if 0 < backoff_s <= _MAX_FREE_DELAY_S:
            await asyncio.sleep(backoff_s)
        answer = self._call('DELETE', engine, format_handle_path(handle))
        try:
            async with answer as response:
                await read_body(response, _MAX_BYTES)
        except _FAILURES as error:
            _log_failure('handle_not_freed', engine, error)

    @contextlib.asynccontextmanager
    async def _call(
        self,
        method: str,
        engine: Entry,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] = _NO_HEADERS,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        backoff_s = self._notices.find_backoff_s(engine)
        if backoff_s:
            raise BackingOffError(backoff_s)
        url = f'http://{engine.address}{path}'
        async with asyncio.timeout(_CALL_S):
            async with self._session.request(
                method,
                url,
                data=body,
                headers=headers,
            ) as response:
                answer_head = read_answer_head(
                    response.status, response.headers
                )
                self._notices.record_answer(engine, answer_head, 'control')
                yield response


def _log_failure(event: str, engine: Entry, error: BaseException) -> None:
    journal.write_decision(
        event, endpoint=engine.name, reason=format_error(error)
    )
