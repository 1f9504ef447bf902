"""Appends to busy logs or with lost answers, and following of the log."""

import asyncio
import contextlib

import pytest
from aiohttp import ClientSession, web
from returns.result import Success

from verbenahall import wire
from verbenahall.errors import ErrorKind, Ran
from verbenahall.log import LogClient, LogFollower


class FakeLog:
    """A log in memory; ``script`` holds the faults of the next appends."""

    def __init__(self, script=()):
        self.records = []
        self.script = list(script)
        self.first = 1
        self.reads = 0

    def add(self, message):
        """Append a record, also one that exists already."""
        offset = len(self.records) + 1
        self.records.append({**message, 'offset': offset})
        return offset

    async def append(self, request):
        """Handle an append as the next step of the script says."""
        message = wire.decode_table(await request.read()).unwrap()
        step = self.script.pop(0) if self.script else 'answer'
        match step:
            case 'busy':
                return web.Response(status=429)
            case 'down':
                return web.Response(status=503)
            case 'broken':
                return web.Response(status=500)
            case 'lost':
                self.add(message)
                request.transport.close()
            case 'late':
                # The connection is closed, and the append happens later.
                loop = asyncio.get_running_loop()
                loop.call_later(0.08, self.add, message)
                request.transport.close()
            case 'dropped':
                request.transport.close()
        if step != 'answer':
            return web.Response()
        return web.json_response({'offset': self.add(message)})

    async def read(self, request):
        """Return a page, after a short wait if it is empty."""
        self.reads += 1
        after = int(request.query['after'])
        page = self.records[after : after + int(request.query['limit'])]
        if not page:
            await asyncio.sleep(min(0.01, float(request.query['wait'])))
        return web.json_response(
            {'records': page, 'first': self.first, 'last': len(self.records)},
        )


@contextlib.asynccontextmanager
async def run_log(script=(), append_timeout_s=5.0):
    """Yield a fake log and a client for it."""
    log = FakeLog(script)
    app = web.Application()
    app.router.add_post('/append', log.append)
    app.router.add_get('/read', log.read)
    runner = web.AppRunner(app, shutdown_timeout=0)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    address = '{}:{}'.format(*runner.addresses[0])
    async with ClientSession() as session:
        yield log, LogClient(address, session, 'entry-1', append_timeout_s)
    await runner.cleanup()


async def append(script, append_timeout_s=5.0):
    """Append one body; return the outcome and the log."""
    async with run_log(script, append_timeout_s) as (log, client):
        log.add({'stream': 'settings', 'id': 'older', 'body': {}})
        return await client.append('settings', {'a': 1}), log


@pytest.mark.parametrize(
    ('script', 'copies'),
    [
        ((), 1),
        (('busy', 'busy'), 1),
        (('lost',), 1),
        (('dropped',), 1),
        (('broken', 'dropped'), 1),
        (('late',), 2),
    ],
)
def test_append_returns_the_first_copy(script, copies):
    """The log is busy, or an answer is lost before or after the append.

    The offset is used as a fencing token. It must be that of the copy which
    the folds count, and an existing record must not be reported as failed.
    """
    outcome, log = asyncio.run(append(script))
    offsets = [row['offset'] for row in log.records if row['id'] != 'older']

    assert outcome == Success(offsets[0])
    assert len(offsets) <= copies


@pytest.mark.parametrize(
    ('script', 'ran'),
    [
        (('down',), Ran.NO),
        (('busy',) * 99, Ran.NO),
        (('dropped',) * 99, Ran.UNKNOWN),
    ],
)
def test_failure_says_whether_the_record_may_exist(script, ran):
    """The log fails for longer than an append may take.

    A claim that is reported as absent lets a caller send its request again,
    so only refusals before the append may be reported so.
    """
    outcome, _ = asyncio.run(append(script, append_timeout_s=0.3))

    assert outcome.failure().kind is ErrorKind.LOG_UNAVAILABLE
    assert outcome.failure().ran is ran


def test_unreachable_log_surely_has_no_record():
    """Nothing listens at the log's address, so no record can exist."""
    outcome = asyncio.run(_append_unreachable())

    assert outcome.failure().ran is Ran.NO


def test_record_over_the_limit_is_not_sent():
    """The log would refuse or truncate the record."""
    outcome, log = asyncio.run(_append_large())

    assert outcome.failure().kind is ErrorKind.TOO_LARGE
    assert not log.records


def test_follower_applies_each_record_once_past_a_bad_one():
    """A record makes a fold raise an exception.

    The instance must apply the later records and not stay at an old offset.
    """
    seen = []
    follower = asyncio.run(_follow(seen))

    assert seen == [1, 2, 3]
    assert (follower.position, follower.head) == (3, 3)


def test_follower_does_not_skip_a_gap():
    """The instance was disconnected for longer than the log keeps records.

    Without the expired records its settings would differ from the others'.
    """
    seen = []
    follower = asyncio.run(_follow(seen, position=1, first=3))

    assert follower.gap
    assert (seen, follower.position) == ([], 1)


async def _append_unreachable():
    async with ClientSession() as session:
        client = LogClient('127.0.0.1:1', session, 'entry-1')
        return await client.append('settings', {})


async def _append_large():
    async with run_log() as (log, client):
        return await client.append('settings', {'a': 'x' * 70_000}), log


async def _follow(seen, position=0, first=1):
    async with run_log() as (log, client):
        for body in ({'a': 1}, 'no object', {'a': 2}):
            log.add({'stream': 'settings', 'id': 'i', 'body': body})
        log.first = first
        handlers = [
            lambda record: seen.append(record.offset),
            lambda record: record.body['a'],
        ]
        follower = LogFollower(client, handlers, position=position)
        await follower.poll(0.1)
        await follower.poll(0.1)
        return follower
