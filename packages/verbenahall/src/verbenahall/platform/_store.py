"""Client of the platform's store.

Each call returns one of a closed set of outcomes. An append whose answer was
lost may have been carried out, or may be carried out later; only a read
shows which.

The store may return from an older copy, without its last records. It then
gives offsets again, and states a higher era. So all methods take and return
positions, which hold the era, and none mixes what it read in two eras.
"""

import base64
import collections
import contextlib
import dataclasses
from collections.abc import Iterator, Sequence
from http import HTTPStatus
from typing import Any, Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics, wire
from verbenahall.platform import _fields as fields
from verbenahall.platform import _names as names
from verbenahall.bodies import (
    ProgressTimeout,
    format_error,
    read_body,
)
from verbenahall.platform._connections import CALL_FAILURES
from verbenahall.platform._eras import StoreEra
from verbenahall.platform._positions import get_era, get_offset, make_position
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
#: Statuses of a read that the store has carried out.
_READ_STATUSES: Final = frozenset((HTTPStatus.OK, HTTPStatus.GONE))
#: Timeout of a call's answer beyond its requested wait, and of each further
#: byte of it, in seconds. The platform calls a store slow that takes 60 times
#: its usual 4 ms.
ANSWER_S: Final = 0.9
_MS_IN_SECOND: Final = 1000
#: Maximum kilobytes of one read: the longest record fits, a manifest.
_MAX_READ_KB: Final = 8192
#: Longest answer, in bytes: the longest record in base64, and the other records
#: of its page.
_MAX_BYTES: Final = 12_582_912
#: How often a whole read begins anew because the store has returned meanwhile.
_MAX_WHOLE_READS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no usable answer; the effect of the call is unknown."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deleted:
    """The requested records are no longer kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """The store has returned from a copy since the position was read.

    What it holds from there on may have changed, so the whole topic has to be
    read.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key, and the position to read from next.

    ``positions`` holds the position of each of these records.
    """

    items: dict[str, bytes]
    positions: dict[str, int]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store, and the era in which it was given."""

    status: int
    body: bytes
    era: int


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
    """The records were appended, the first one at ``position``."""

    position: int


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

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        era: StoreEra | None = None,
    ) -> None:
        """Use ``session`` for the store at ``address`` (``IP:port``)."""
        self.era = era or StoreEra()
        #: Answers whose bodies are being received, by topic.
        self._receiving: collections.Counter[str] = collections.Counter()
        self._session = session
        self._base = f'http://{address}'

    def is_receiving(self, topic: str) -> bool:
        """Whether an answer with records of a topic is being received."""
        return self._receiving[topic] > 0

    def is_current(self, position: int) -> bool:
        """Whether a position is of the store's present era."""
        return get_era(position) == self.era.current

    async def read_newest(
        self, topic: str
    ) -> Result[NewestRecords, StoreUnavailable]:
        """Read the newest record of each key, page by page.

        The pages are no snapshot. The position to read from next is that of
        the first page, so that changes between two pages are read again. If the
        store returns meanwhile, all pages are read anew.
        """
        reads = 0
        while reads < _MAX_WHOLE_READS:
            reads += 1
            found = await self._read_pages(topic)
            if not isinstance(found, Success):
                return found
            pages = found.unwrap()
            eras = {get_era(page.newest.end) for page in pages}
            if eras == {self.era.current}:
                return Success(_join_pages(pages))
        return Failure(StoreUnavailable('the store keeps returning'))

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float = 0,
        answer_s: float = ANSWER_S,
    ) -> Result[Batch, StoreUnavailable | Deleted | Returned]:
        """Read from a position; wait up to ``wait_s`` for a first record.

        ``answer_s`` is the timeout of the answer after this wait. A position of
        a later era than the store has stated so far may come from a peer.
        """
        era = get_era(start)
        if era < self.era.current:
            return Failure(Returned())
        params = {
            'topic': topic,
            'part': '0',
            'from': str(get_offset(start)),
            'maxKb': str(_MAX_READ_KB),
            'waitMs': str(int(wait_s * _MS_IN_SECOND)),
        }
        timeout_s = wait_s + answer_s
        answer = await self._call('GET', names.READ, params, b'', timeout_s)
        match answer:
            case Success(_Answer(status=status)) if (
                status not in _READ_STATUSES
            ):
                return Failure(StoreUnavailable(f'status {status}'))
            case Success(_Answer(era=answered_in)) if (
                answered_in != era or era != self.era.current
            ):
                return Failure(Returned())
            case Success(_Answer(HTTPStatus.OK, body)):
                return _decode_read(body, era)
            case Success(_):
                return Failure(Deleted())
            case _:
                return answer

    async def append(
        self,
        topic: str,
        records: Sequence[bytes],
        at: int | None = None,
    ) -> AppendOutcome:
        """Append all records or none; with ``at`` only at that position.

        A position of an earlier era is refused without a call: the topic may
        end at its offset again, after other records.
        """
        params = {'topic': topic, 'part': '0'}
        if at is not None:
            if get_era(at) != self.era.current:
                return Refused()
            params['at'] = str(get_offset(at))
        body = encode_records(records)
        answer = await self._call('POST', names.APPEND, params, body, ANSWER_S)
        match answer:
            case Success(_Answer() as answered):
                outcome = _read_append(answered)
            case Failure(unavailable):
                return Unknown(unavailable.reason)
            case _:
                return Unknown('no answer')
        is_current = answered.era == self.era.current
        if at is not None:
            is_current = is_current and answered.era == get_era(at)
        if isinstance(outcome, Appended) and not is_current:
            return Unknown('the store has returned')
        return outcome

    async def _read_pages(
        self, topic: str
    ) -> Result[list[_Page], StoreUnavailable]:
        pages: list[_Page] = []
        after = ''
        while not pages or after:
            match await self._get_page(topic, after):
                case Success(page):
                    pages.append(page)
                    after = page.after
                case Failure(unavailable):
                    return Failure(unavailable)
        return Success(pages)

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
            case Success(_Answer(HTTPStatus.OK, body, era)):
                return _decode_page(body, era)
            case Success(_Answer(status=status)):
                return Failure(StoreUnavailable(f'status {status}'))
            case _:
                return answer

    @contextlib.contextmanager
    def _receive(self, topic: str) -> Iterator[None]:
        self._receiving[topic] += 1
        try:
            yield
        finally:
            self._receiving[topic] -= 1

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[_Answer, StoreUnavailable]:
        sent_in = self.era.current
        try:
            async with (
                ProgressTimeout(timeout_s, ANSWER_S) as timeout,
                self._session.request(
                    method,
                    self._base + path,
                    params=params,
                    data=body or None,
                ) as response,
            ):
                status = response.status
                stated = response.headers.get(names.STORE_ERA)
                with self._receive(params['topic']):
                    answered = await read_body(
                        response, _MAX_BYTES, timeout.extend
                    )
        except CALL_FAILURES as error:
            _log_call(path, params['topic'], 'no_answer', 0)
            return Failure(StoreUnavailable(format_error(error)))
        _log_call(path, params['topic'], str(status), len(answered))
        era = self.era.read(stated, sent_in)
        return Success(_Answer(status, answered, era))


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
        newest.positions.update(page.newest.positions)
    return newest


def _decode_page(body: bytes, era: int) -> Result[_Page, StoreUnavailable]:
    match wire.decode_table(body):
        case Success(table):
            return _build_page(table, era)
        case Failure(problem):
            return Failure(StoreUnavailable(problem.message))
    return Failure(StoreUnavailable('no answer'))


def _build_page(
    table: dict[str, Any], era: int
) -> Result[_Page, StoreUnavailable]:
    try:
        return Success(_read_page(table, era))
    except (LookupError, TypeError, ValueError) as error:
        return Failure(StoreUnavailable(f'invalid page: {error!r}'))


def _read_page(table: dict[str, Any], era: int) -> _Page:
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
        positions={key: make_position(era, offset) for key, _, offset in rows},
        end=make_position(era, fields.integer(table, 'end')),
    )
    # Raises IndexError if more pages follow an empty one.
    after = rows[-1][0] if table.get('hasMore') else ''
    return _Page(newest, after)


def _decode_read(
    body: bytes, era: int
) -> Result[Batch, StoreUnavailable | Deleted | Returned]:
    try:
        batch = decode_batch(body)
    except ValueError as error:
        return Failure(StoreUnavailable(str(error)))
    return Success(
        Batch(
            make_position(era, batch.end),
            make_position(era, batch.first),
            batch.records,
        ),
    )


def _read_append(answer: _Answer) -> AppendOutcome:
    match answer.status, wire.decode_table(answer.body):
        case HTTPStatus.OK, Success({'offset': int(offset)}):
            return Appended(make_position(answer.era, offset))
        case HTTPStatus.OK, _:
            # An offset of 0 must not be assumed: it becomes a fencing token.
            return Unknown('the answer has no offset')
        case status, _ if status in _REFUSED_STATUSES:
            return Refused()
        case status, _:
            return Unknown(f'status {status}')
