"""Stand-in for the platform's log service.

``python -m verbenahall_standins.log --port 0`` serves it. Offsets start at 1
and order the records of all streams. Records are kept up to a maximum number
and age. Appends above the configured rate are answered with 429.
"""

import argparse
import asyncio
import collections
import itertools
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web

from verbenahall import clock
from verbenahall_standins import answers, faults, serving

_MAX_RECORDS: Final = 1_000_000
_MAX_AGE_S: Final = 86_400.0
_APPENDS_PER_S: Final = 400.0
#: The bucket holds the tokens of this many seconds.
_BURST_S: Final = 0.25
#: Maximum records on a page if a request sets no limit.
_DEFAULT_LIMIT: Final = 1000
_MAX_WAIT_S: Final = 60.0


class TokenBucket:
    """A token bucket that gets ``per_s`` tokens a second, up to its burst."""

    __slots__ = ('_capacity', '_per_s', '_refilled_at', '_tokens')

    def __init__(self, per_s: float, now: float) -> None:
        """Start full."""
        self._per_s = per_s
        self._capacity = max(1, per_s * _BURST_S)
        self._tokens = self._capacity
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Take one token; return whether one was available."""
        refill = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Log:
    """Ordered records; the oldest expire by number and age."""

    __slots__ = ('_appended_at', '_max_age_s', '_records', 'first', 'last')

    def __init__(self, max_records: int, max_age_s: float) -> None:
        """Keep at most ``max_records`` records, for ``max_age_s`` seconds."""
        self._records: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=max_records,
        )
        self._appended_at: collections.deque[float] = collections.deque(
            maxlen=max_records
        )
        self._max_age_s = max_age_s
        self.first = 1
        self.last = 0

    def append(self, message: dict[str, Any], now: float) -> int:
        """Append a record and return its offset; duplicates are not merged."""
        self.expire(now)
        self.last += 1
        record = {
            'offset': self.last,
            'stream': message['stream'],
            'id': message['id'],
            'body': message['body'],
        }
        self._records.append(record)
        self._appended_at.append(now)
        self.first = self._records[0]['offset']
        return self.last

    def expire(self, now: float) -> None:
        """Remove records that exceed the maximum age."""
        while (
            self._appended_at and now - self._appended_at[0] > self._max_age_s
        ):
            self._appended_at.popleft()
            self._records.popleft()
            self.first += 1

    def read(
        self,
        after: int,
        limit: int,
        streams: frozenset[str],
    ) -> list[dict[str, Any]]:
        """Return records after an offset, of all streams if none is named."""
        skipped = max(0, after + 1 - self.first)
        found = (
            record
            for record in itertools.islice(self._records, skipped, None)
            if not streams or record['stream'] in streams
        )
        return list(itertools.islice(found, limit))


class LogService:
    """HTTP routes of the log."""

    __slots__ = ('_appended', '_bucket', '_faults', '_log')

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with an empty log."""
        self._log = Log(options.kept, options.kept_s)
        self._bucket = TokenBucket(options.rate, clock.monotonic())
        self._appended = asyncio.Event()
        self._faults = faults.Faults()
        self._faults.on_change = self._wake_readers

    def add_routes(self, app: web.Application) -> None:
        """Register the log's routes."""
        app.router.add_post('/append', self._append)
        app.router.add_get('/read', self._read)
        app.router.add_get('/record', self._get_record)
        faults.add_fault_routes(app, self._faults)

    def _wake_readers(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    async def _append(self, request: web.Request) -> web.Response:
        message = await request.json()
        now = clock.monotonic()
        if not self._bucket.try_acquire(now):
            return answers.build_answer(
                {'error': 'over the rate'},
                HTTPStatus.TOO_MANY_REQUESTS,
            )
        offset = self._log.append(message, now)
        self._wake_readers()
        return answers.build_answer({'offset': offset})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        after = int(query.get('after', '0'))
        limit = int(query.get('limit', _DEFAULT_LIMIT))
        wait_s = min(float(query.get('wait', '0')), _MAX_WAIT_S)
        names = query.get('streams', '').split(',')
        streams = frozenset(name for name in names if name)
        page = await self._wait_for_page(after, limit, streams, wait_s)
        answer = answers.build_answer(page)
        if wait_s:
            return await faults.apply_poll_fault(self._faults, request, answer)
        return answer

    async def _wait_for_page(
        self,
        after: int,
        limit: int,
        streams: frozenset[str],
        wait_s: float,
    ) -> dict[str, Any]:
        until = clock.monotonic() + wait_s
        records = self._read_records(after, limit, streams)
        while not records and clock.monotonic() < until:
            await self._wait_for_append(until - clock.monotonic())
            records = self._read_records(after, limit, streams)
            if self._is_unavailable():
                break
        first = self._log.first
        return {'records': records, 'first': first, 'last': self._log.last}

    def _is_unavailable(self) -> bool:
        return any(map(self._faults.find, ('down', 'partition', 'hang')))

    async def _wait_for_append(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._appended.wait()
        except TimeoutError:
            return

    def _read_records(
        self,
        after: int,
        limit: int,
        streams: frozenset[str],
    ) -> list[dict[str, Any]]:
        self._log.expire(clock.monotonic())
        return self._log.read(after, limit, streams)

    async def _get_record(self, request: web.Request) -> web.Response:
        records = self._log.read(0, self._log.last, frozenset())
        return answers.build_answer({'started': records})


def build(options: argparse.Namespace) -> web.Application:
    """Build the web application."""
    app = serving.new_application()
    LogService(options).add_routes(app)
    return app


def main() -> None:
    """Run the log service until SIGTERM."""
    parser = serving.new_parser('Log service stand-in')
    parser.add_argument('--rate', type=float, default=_APPENDS_PER_S)
    parser.add_argument('--kept', type=int, default=_MAX_RECORDS)
    parser.add_argument('--kept-s', type=float, default=_MAX_AGE_S)
    serving.serve(build, parser.parse_args())


if __name__ == '__main__':
    main()
