"""Appends to and reads from the log service over HTTP."""

import asyncio
import dataclasses
import random
import uuid
from collections.abc import Sequence
from typing import Any, Final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import clock, wire
from verbenahall.bodies import ProgressTimeout, read_body
from verbenahall.errors import Problem, Ran
from verbenahall.log._answers import (
    build_too_large,
    build_unavailable,
    classify_status,
    decode_answer,
    describe_error,
)
from verbenahall.log._messages import (
    MAX_RECORD_BYTES,
    AnswerLost,
    Append,
    Appended,
    Outcome,
    Page,
    Refused,
    read_page,
)

_APPEND_TIMEOUT_S: Final = 5.0
_ATTEMPT_TIMEOUT_S: Final = 2.0
_CONNECT_TIMEOUT_S: Final = 1.0
#: Timeout of a read beyond its requested wait, in seconds.
_READ_MARGIN_S: Final = 2.0
_BACKOFF_S: Final = 0.05
_MIN_PAUSE_SHARE: Final = 0.5
_PAGE_LIMIT: Final = 500
#: Bytes of a page at most.
_MAX_PAGE_BYTES: Final = 67_108_864
_OK: Final = 200

#: Exceptions that are raised before any byte of the request is written.
_NOT_SENT: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class LogClient:
    """Client of the log for one holder.

    ``holder`` is part of each append's identity, so that the log shows which
    instance wrote a record. An append takes at most ``append_timeout_s``
    seconds and a few more for the last read.
    """

    __slots__ = ('holder', '_address', '_append_timeout_s', '_head', '_session')

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        holder: str,
        append_timeout_s: float = _APPEND_TIMEOUT_S,
    ) -> None:
        """Use ``session`` for the log at ``address`` (``IP:port``)."""
        self.holder = holder
        self._address = address
        self._session = session
        self._append_timeout_s = append_timeout_s
        self._head = -1

    async def append(
        self,
        stream: str,
        body: dict[str, Any],
    ) -> Result[int, Problem]:
        """Append one record and return its offset.

        The failure is ``LOG_UNAVAILABLE``. Its ``ran`` is ``NO`` if the
        record does not exist, and ``UNKNOWN`` if it may exist, now or later.
        """
        suffix = uuid.uuid4().hex
        identity = f'{self.holder}-{suffix}'
        payload = wire.encode(
            {'stream': stream, 'id': identity, 'body': body},
        )
        if len(payload) > MAX_RECORD_BYTES:
            return Failure(build_too_large(payload))
        if self._head < 0:
            # An offset before the append is needed: looking for the record
            # after a lost answer would otherwise read the log from its start.
            page = await self.read(0, 1, 0, (stream,))
            if isinstance(page, Failure):
                return Failure(build_unavailable('cannot read its end', Ran.NO))
        deadline = clock.monotonic() + self._append_timeout_s
        return await self._append_once(
            Append(stream, identity, payload, self._head, deadline),
        )

    async def read(
        self,
        after: int,
        limit: int,
        wait_s: float = 0,
        streams: Sequence[str] = (),
    ) -> Result[Page, Problem]:
        """Return records after an offset, waiting for the first one.

        Returned are at most ``limit`` records of ``streams`` (of all streams
        if empty), or an empty page after ``wait_s`` seconds without any.
        """
        query = {'after': after, 'limit': limit, 'wait': wait_s}
        if streams:
            query['streams'] = ','.join(streams)
        try:
            page = await self._get_page(query, wait_s + _READ_MARGIN_S)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Failure(build_unavailable(describe_error(error), Ran.NO))
        except (KeyError, TypeError, ValueError) as error:
            return Failure(
                build_unavailable(f'invalid page: {error!r}', Ran.NO)
            )
        self._head = max(self._head, page.last)
        return Success(page)

    async def _append_once(self, append: Append) -> Result[int, Problem]:
        """Append a record; retry while the log is busy."""
        pause_s = _BACKOFF_S
        outcome = await self._post(append)
        while _is_busy(outcome) and not _is_past_deadline(append):
            await _pause(pause_s)
            pause_s *= 2
            outcome = await self._post(append)
        match outcome:
            case Appended(offset):
                return Success(offset)
            case Refused(problem):
                return Failure(problem)
            case AnswerLost(problem):
                return await self._resolve_lost_append(append, problem)

    async def _resolve_lost_append(
        self,
        append: Append,
        problem: Problem,
    ) -> Result[int, Problem]:
        """Determine the outcome of an append whose answer was lost.

        The answer may be lost after the record was appended, and a second
        try would then append it twice. A request that timed out may also
        still wait in the log's socket. So only a read decides: each further
        try has the same identity and follows a read that did not find it. Of
        two copies the first one counts, here as in the folds.
        """
        pause_s = _BACKOFF_S
        while True:
            found = await self._find(append)
            match found:
                case Success(offset) if offset:
                    return found
                case Success(_):
                    await self._post(append)
            if _is_past_deadline(append):
                return Failure(dataclasses.replace(problem, ran=Ran.UNKNOWN))
            await _pause(pause_s)
            pause_s *= 2

    async def _find(self, append: Append) -> Result[int, Problem]:
        """Return the offset of the append's first copy, 0 if there is none."""
        after = append.before
        while True:
            read = await self.read(after, _PAGE_LIMIT, 0, (append.stream,))
            if isinstance(read, Failure):
                return read
            page = read.unwrap()
            offset = _find_identity(page, append.identity)
            if offset or len(page.records) < _PAGE_LIMIT:
                return Success(offset)
            after = page.records[-1].offset

    async def _post(self, append: Append) -> Outcome:
        try:
            return await self._post_once(append)
        except _NOT_SENT as not_sent:
            return Refused(build_unavailable(describe_error(not_sent), Ran.NO))
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return AnswerLost(
                build_unavailable(describe_error(error), Ran.UNKNOWN)
            )
        except (KeyError, TypeError, ValueError) as bad_answer:
            reason = f'invalid answer: {bad_answer!r}'
            return AnswerLost(build_unavailable(reason, Ran.UNKNOWN))

    async def _post_once(self, append: Append) -> Outcome:
        async with self._session.post(
            f'http://{self._address}/append',
            data=append.payload,
            headers={'Content-Type': 'application/json'},
            timeout=aiohttp.ClientTimeout(
                total=_ATTEMPT_TIMEOUT_S,
                sock_connect=_CONNECT_TIMEOUT_S,
            ),
        ) as answer:
            body = await answer.read()
            status = answer.status
        if status == _OK:
            offset = int(decode_answer(body)['offset'])
            self._head = max(self._head, offset)
            return Appended(offset)
        return classify_status(status)

    async def _get_page(
        self,
        query: dict[str, Any],
        timeout_s: float,
    ) -> Page:
        async with (
            ProgressTimeout(timeout_s, _ATTEMPT_TIMEOUT_S) as timeout,
            self._session.get(
                f'http://{self._address}/read',
                params=query,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=_CONNECT_TIMEOUT_S
                ),
                raise_for_status=True,
            ) as answer,
        ):
            body = await read_body(answer, _MAX_PAGE_BYTES, timeout.extend)
        return read_page(decode_answer(body))


def _is_busy(outcome: Outcome) -> bool:
    return isinstance(outcome, Refused) and outcome.retryable


def _is_past_deadline(append: Append) -> bool:
    return clock.monotonic() >= append.deadline


async def _pause(max_s: float) -> None:
    await asyncio.sleep(max_s * random.uniform(_MIN_PAUSE_SHARE, 1))


def _find_identity(page: Page, identity: str) -> int:
    offsets = (
        record.offset for record in page.records if record.identity == identity
    )
    return next(offsets, 0)
