"""The one client of the platform's store.

Each call ends in one of a closed set of outcomes. An append whose answer was
lost may have been carried out, or may be so later; only a read can tell.
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

#: Answers by which surely nothing was appended.
_NOT_DONE: Final = frozenset(
    (
        HTTPStatus.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.INSUFFICIENT_STORAGE,
    ),
)
#: Longest time for an answer beyond what a call asks to wait, in seconds: the
#: platform calls a store slow that takes 60 times its usual 4 ms.
ANSWER_S: Final = 0.9
_MS_IN_SECOND: Final = 1000
#: Kilobytes of one read; a whole big manifest fits.
_READ_KB: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Away:
    """The store did not answer, or refused; nothing is known of a call."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deleted:
    """The records asked for are no longer kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key, and the offset to follow from.

    ``offsets`` tells where each of them lies.
    """

    items: dict[str, bytes]
    offsets: dict[str, int]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """A part of the newest records; the next one follows the key ``after``."""

    newest: Newest
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records are in, the first one at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Surely nothing was appended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The append may be in, or may get in later."""

    reason: str


AppendOutcome = Appended | Refused | Unknown


@final
class StoreClient:
    """Reads and appends; every method makes as few calls as it can.

    ``session`` must give up connections that fall silent, since a call whose
    answer is lost gets nothing more on its connection.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Talk to the store at ``address`` (IP and port)."""
        self._session = session
        self._base = f'http://{address}'

    async def read_newest(self, topic: str) -> Result[Newest, Away]:
        """Read the newest record of each key, page by page.

        Pages are no snapshot: the offset to follow from is that of the first
        page, so that what changed between two pages is read again.
        """
        pages: list[_Page] = []
        after = ''
        while not pages or after:
            match await self._get_page(topic, after):
                case Success(page):
                    pages.append(page)
                    after = page.after
                case Failure(away):
                    return Failure(away)
        return Success(_join_pages(pages))

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float = 0,
        answer_s: float = ANSWER_S,
    ) -> Result[Batch, Away | Deleted]:
        """Read from an offset; wait up to ``wait_s`` for a first record.

        ``answer_s`` is how much longer the answer may take.
        """
        params = {
            'topic': topic,
            'part': '0',
            'from': str(start),
            'maxKb': str(_READ_KB),
            'waitMs': str(int(wait_s * _MS_IN_SECOND)),
        }
        limit_s = wait_s + answer_s
        answer = await self._call('GET', names.READ, params, b'', limit_s)
        match answer:
            case Success((HTTPStatus.OK, body)):
                return _decode_read(body)
            case Success((HTTPStatus.GONE, _)):
                return Failure(Deleted())
            case Success((status, _)):
                return Failure(Away(f'status {status}'))
            case _:
                return answer

    async def append(
        self,
        topic: str,
        records: Sequence[bytes],
        at: int | None = None,
    ) -> AppendOutcome:
        """Append records, all or none; with ``at`` only at that offset."""
        params = {'topic': topic, 'part': '0'}
        if at is not None:
            params['at'] = str(at)
        body = encode_records(records)
        answer = await self._call('POST', names.APPEND, params, body, ANSWER_S)
        match answer:
            case Success((status, answered)):
                return _read_append(status, answered)
            case Failure(away):
                return Unknown(away.reason)
        return Unknown('no answer')

    async def _get_page(
        self,
        topic: str,
        after: str,
    ) -> Result[_Page, Away]:
        params = {'topic': topic, 'part': '0'}
        if after:
            params['after'] = after
        answer = await self._call('GET', names.NEWEST, params, b'', ANSWER_S)
        match answer:
            case Success((HTTPStatus.OK, body)):
                return _decode_page(body)
            case Success((status, _)):
                return Failure(Away(f'status {status}'))
            case _:
                return answer

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        body: bytes,
        limit_s: float,
    ) -> Result[tuple[int, bytes], Away]:
        try:
            async with asyncio.timeout(limit_s):
                async with self._session.request(
                    method,
                    self._base + path,
                    params=params,
                    data=body or None,
                ) as response:
                    answered = response.status, await response.read()
        except CALL_FAILURES as error:
            _tell_call(path, params['topic'], 'no_answer', 0)
            return Failure(Away(repr(error)))
        status, answer = answered
        _tell_call(path, params['topic'], str(status), len(answer))
        return Success(answered)


def _tell_call(path: str, topic: str, outcome: str, received: int) -> None:
    """Count a call and write a line for it: the store is shared by all."""
    metrics.STORE_CALLS.add(path, outcome)
    journal.write_decision(
        'store_call',
        call=path.rpartition('-')[-1],
        topic=topic,
        outcome=outcome,
        received=received,
    )


def _join_pages(pages: Sequence[_Page]) -> Newest:
    newest = Newest({}, {}, pages[0].newest.end)
    for page in pages:
        newest.items.update(page.newest.items)
        newest.offsets.update(page.newest.offsets)
    return newest


def _decode_page(body: bytes) -> Result[_Page, Away]:
    match wire.decode_table(body):
        case Success(table):
            return _build_page(table)
        case Failure(problem):
            return Failure(Away(problem.message))
    return Failure(Away('no answer'))


def _build_page(table: dict[str, Any]) -> Result[_Page, Away]:
    try:
        return Success(_read_page(table))
    except (LookupError, TypeError, ValueError) as error:
        return Failure(Away(f'page not readable: {error!r}'))


def _read_page(table: dict[str, Any]) -> _Page:
    rows = [
        (
            fields.text(row, 'key'),
            base64.b64decode(fields.text(row, 'value')),
            fields.integer(row, 'offset'),
        )
        for row in table['items']
    ]
    newest = Newest(
        items={key: content for key, content, _ in rows},
        offsets={key: offset for key, _, offset in rows},
        end=fields.integer(table, 'end'),
    )
    # Raises IndexError where more follows and no key is there to go on from.
    after = rows[-1][0] if table.get('hasMore') else ''
    return _Page(newest, after)


def _decode_read(body: bytes) -> Result[Batch, Away | Deleted]:
    try:
        return Success(decode_batch(body))
    except ValueError as error:
        return Failure(Away(str(error)))


def _read_append(status: int, body: bytes) -> AppendOutcome:
    match status, wire.decode_table(body):
        case HTTPStatus.OK, Success({'offset': int(offset)}):
            return Appended(offset)
        case HTTPStatus.OK, _:
            # Not zero: the offset is a fencing token.
            return Unknown('the answer names no offset')
        case _ if status in _NOT_DONE:
            return Refused()
        case _:
            return Unknown(f'status {status}')
