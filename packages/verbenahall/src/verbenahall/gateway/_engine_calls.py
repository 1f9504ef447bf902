"""Control calls to engines: reports, role orders, freeing of handles."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Mapping
from types import MappingProxyType
from typing import Final, final

import aiohttp
from returns.maybe import Maybe, Nothing

from verbenahall import journal
from verbenahall.platform import (
    CALL_FAILURES,
    EXPECT_ENDPOINT,
    ORDER,
    REPORT,
    AnswerHead,
    EngineReport,
    RoleOrder,
    decode_report,
    encode_order,
    format_handle_path,
    read_answer_head,
)
from verbenahall.roster import Entry

#: Timeout of one call, in seconds. Engines answer these calls within
#: milliseconds, and one that does not is polled again later.
_CALL_S: Final = 1.0
_NO_HEADERS: Final[Mapping[str, str]] = MappingProxyType({})

#: Records the head of an engine's answer and the kind of the call.
RecordAnswer = Callable[[Entry, AnswerHead, str], None]


@final
class EngineCalls:
    """Makes the calls; a failure is logged and gives an empty result."""

    __slots__ = ('_record_answer', '_session')

    def __init__(
        self, session: aiohttp.ClientSession, record_answer: RecordAnswer
    ) -> None:
        """Call through ``session``; pass answer heads to ``record_answer``."""
        self._record_answer = record_answer
        self._session = session

    async def fetch_report(self, engine: Entry) -> Maybe[EngineReport]:
        """Fetch an engine's report; Nothing if the call failed."""
        answer = self._call('GET', engine, REPORT)
        try:
            async with answer as response:
                return decode_report(await response.read())
        except CALL_FAILURES as error:
            _log_failure('report_failed', engine, error)
        return Nothing

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
                await response.read()
                return response.status
        except CALL_FAILURES as error:
            _log_failure('order_unanswered', engine, error)
        return None

    async def free_handle(self, engine: Entry, handle: str) -> None:
        """Free KV cache that will not be fetched."""
        answer = self._call('DELETE', engine, format_handle_path(handle))
        try:
            async with answer as response:
                await response.read()
        except CALL_FAILURES as error:
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
                self._record_answer(engine, answer_head, 'control')
                yield response


def _log_failure(event: str, engine: Entry, error: BaseException) -> None:
    journal.write_decision(event, endpoint=engine.name, reason=repr(error))
