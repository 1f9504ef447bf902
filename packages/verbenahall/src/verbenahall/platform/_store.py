"""Client of the platform's store.

Each call returns one of a closed set of outcomes. An append whose answer was
lost may have been carried out, or may be carried out later; only a read
shows which.
"""

import asyncio
import base64
import dataclasses
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics, wire
from verbenahall.platform import _fields as fields
from verbenahall.platform import _names as names
from verbenahall.platform._connections import CALL_FAILURES
from verbenahall.platform._records import Batch, decode_batch, encode_records

#: Statuses after which nothing was appended.
_REFUSED_STATUSES: Final = frozenset(
    (
        HTTPStatus.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    ),
)
#: Timeout of a call beyond its requested wait, in seconds. The platform calls
#: a store slow that takes 60 times its usual 4 ms.
ANSWER_S: Final = 0.9
_MS_IN_SECOND: Final = 1000
#: Maximum kilobytes of one read; a large manifest fits.
_MAX_READ_KB: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no usable answer; the effect of the call is unknown."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deleted:
    """The requested records are no longer kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key, and the offset to read from next.

    ``offsets`` holds the offset of each of these records.
    """

    items: dict[str, bytes]
    offsets: dict[str, int]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """A page of the newest records.

    The next page starts after the key ``after``, which is empty on the last
    page.
    """

    newest: NewestRecords
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records were appended, the first one at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was appended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The records may have been appended, or may be appended later."""

    reason: str


AppendOutcome = Appended | Refused | Unknown


@final
class StoreClient:
    """Reads from and appends to the store, which all instances share.

    Each method makes as few calls as possible.

    ``session`` must close unresponsive connections: after a lost answer, no
    more data arrives on a connection.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use ``session`` for the store at ``address`` (``IP:port``)."""
        self._session = session
        self._base = f'http://{address}'

    async def read_newest(
        self, topic: str
    ) -> Result[NewestRecords, StoreUnavailable]:
        """Read the newest record of each key, page by page.

        The pages are no snapshot. The offset to read from next is that of
        the first page, so that changes between two pages are read again.
        """
        pages: list[_Page] = []
        after = ''
        while not pages or after:
            match await self._get_page(topic, after):
                case Success(page):
                    pages.append(page)
                    after = page.after
                case Failure(unavailable):
                    return Failure(unavailable)
        return Success(_join_pages(pages))

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float = 0,
        answer_s: float = ANSWER_S,
    ) -> Result[Batch, StoreUnavailable | Deleted]:
        """Read from an offset; wait up to ``wait_s`` for a first record.

        ``answer_s`` is the timeout of the answer after this wait.
        """
        params = {
            'topic': topic,
            'part': '0',
            'from': str(start),
            'maxKb': str(_MAX_READ_KB),
            'waitMs': str(int(wait_s * _MS_IN_SECOND)),
        }
        timeout_s = wait_s + answer_s
        answer = await self._call('GET', names.READ, params, b'', timeout_s)
        match answer:
            case Success((HTTPStatus.OK, body)):
                return _decode_read(body)
            case Success((HTTPStatus.GONE, _)):
                return Failure(Deleted())
            case Success((status, _)):
                return Failure(StoreUnavailable(f'status {status}'))
            case _:
                return answer

    async def append(
        self,
        topic: str,
        records: Sequence[bytes],
        at: int | None = None,
    ) -> AppendOutcome:
        """Append all records or none; with ``at`` only at that offset."""
        params = {'topic': topic, 'part': '0'}
        if at is not None:
            params['at'] = str(at)
        body = encode_records(records)
        answer = await self._call('POST', names.APPEND, params, body, ANSWER_S)
        match answer:
            case Success((status, response_body)):
                return _read_append(status, response_body)
            case Failure(unavailable):
                return Unknown(unavailable.reason)
        return Unknown('no answer')

    async def _get_page(
        self,
        topic: str,
        after: str,
    ) -> Result[_Page, StoreUnavailable]:
        params = {'topic': topic, 'part': '0'}
        if after:
            params['after'] = after
        answer = await self._call('GET', names.NEWEST, params, b'', ANSWER_S)
        match answer:
            case Success((HTTPStatus.OK, body)):
                return _decode_page(body)
            case Success((status, _)):
                return Failure(StoreUnavailable(f'status {status}'))
            case _:
                return answer

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[tuple[int, bytes], StoreUnavailable]:
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method,
                    self._base + path,
                    params=params,
                    data=body or None,
                ) as response:
                    answered = response.status, await response.read()
        except CALL_FAILURES as error:
            _log_call(path, params['topic'], 'no_answer', 0)
            return Failure(StoreUnavailable(repr(error)))
        status, answer = answered
        _log_call(path, params['topic'], str(status), len(answer))
        return Success(answered)


def _log_call(path: str, topic: str, outcome: str, received: int) -> None:
    """Count and log a call: all instances share the store."""
    metrics.STORE_CALLS.add(path, outcome)
    journal.write_decision(
        'store_call',
        call=path.rpartition('-')[-1],
        topic=topic,
        outcome=outcome,
        received=received,
    )


def _join_pages(pages: Sequence[_Page]) -> NewestRecords:
    newest = NewestRecords({}, {}, pages[0].newest.end)
    for page in pages:
        newest.items.update(page.newest.items)
        newest.offsets.update(page.newest.offsets)
    return newest


def _decode_page(body: bytes) -> Result[_Page, StoreUnavailable]:
    match wire.decode_table(body):
        case Success(table):
            return _build_page(table)
        case Failure(problem):
            return Failure(StoreUnavailable(problem.message))
    return Failure(StoreUnavailable('no answer'))


def _build_page(table: dict[str, Any]) -> Result[_Page, StoreUnavailable]:
    try:
        return Success(_read_page(table))
    except (LookupError, TypeError, ValueError) as error:
        return Failure(StoreUnavailable(f'invalid page: {error!r}'))


def _read_page(table: dict[str, Any]) -> _Page:
    rows = [
        (
            fields.text(row, 'key'),
            base64.b64decode(fields.text(row, 'value')),
            fields.integer(row, 'offset'),
        )
        for row in table['items']
    ]
    newest = NewestRecords(
        items={key: content for key, content, _ in rows},
        offsets={key: offset for key, _, offset in rows},
        end=fields.integer(table, 'end'),
    )
    # Raises IndexError if more pages follow an empty one.
    after = rows[-1][0] if table.get('hasMore') else ''
    return _Page(newest, after)


def _decode_read(body: bytes) -> Result[Batch, StoreUnavailable | Deleted]:
    try:
        return Success(decode_batch(body))
    except ValueError as error:
        return Failure(StoreUnavailable(str(error)))


def _read_append(status: int, body: bytes) -> AppendOutcome:
    match status, wire.decode_table(body):
        case HTTPStatus.OK, Success({'offset': int(offset)}):
            return Appended(offset)
        case HTTPStatus.OK, _:
            # An offset of 0 must not be assumed: it becomes a fencing token.
            return Unknown('the answer has no offset')
        case _ if status in _REFUSED_STATUSES:
            return Refused()
        case _:
            return Unknown(f'status {status}')
