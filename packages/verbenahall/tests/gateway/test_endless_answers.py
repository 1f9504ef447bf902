"""Endpoints that send bytes without end, and bodies that are too many."""

import asyncio
import contextlib
import os
import re
import time

import pytest
from verbenahall_standins.platform import Site, add_request_id

from verbenahall.buffers import ByteBudget, make_byte_limit
from verbenahall.memory import SMALL_BYTES

from .conftest import PREFIX, make_plain, run, run_gateway
from .test_odd_answers import register_page
from .test_process import start_instance
from .test_unframed_streams import register_engine

SIGNED = b'HTTP/1.1 200 OK\r\nX-Verbenahall-Server-Stamp: s\r\n'
CHUNKED = SIGNED + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + bytes(65536) + b'\r\n'
SECRET = b'another-callers-bytes '
#: What is sent first, and then again and again.
ENDLESS = {
    'chunked body': (CHUNKED, CHUNK),
    'body that ends with the connection': (SIGNED + b'\r\n', bytes(65536)),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 4000),
    'answers to other requests': (
        b'',
        b'HTTP/1.1 200 OK\r\nX-Verbenahall-Request-Id: other\r\n'
        b'Content-Length: 0\r\n\r\n' * 1000,
    ),
    'body for another request': (
        b'HTTP/1.1 200 OK\r\nX-Verbenahall-Request-Id: other\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        CHUNK,
    ),
    'headers': (SIGNED, b'X-A: b\r\n' * 4000),
    'one header line': (SIGNED + b'X-A: ', b'b' * 65536),
    'trailers': (CHUNKED + b'0\r\n', b'X-A: b\r\n' * 4000),
    'no HTTP': (b'', SECRET * 3000),
    'switched protocol': (
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n'
        b'Connection: upgrade\r\n\r\n',
        bytes(65536),
    ),
}
FORMS = [pytest.param(*one, id=name) for name, one in ENDLESS.items()]


class EndlessEndpoint:
    """Answers each request with a head, and then with bytes without end."""

    def __init__(self, head, piece, pause_s=0):
        self.address = ''
        self.name = ''
        self.role = ''
        self.requests = 0
        self._head = head
        self._pause_s = pause_s
        self._piece = piece
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            writer.write(add_request_id(self._head, request))
            while True:
                writer.write(self._piece)
                await writer.drain()
                await asyncio.sleep(self._pause_s)
        writer.close()


@contextlib.asynccontextmanager
async def run_with(folder, endless):
    """Run a gateway whose only plain endpoint sends without end."""
    async with run_gateway(folder) as harness:
        await register_page(harness, endless)
        try:
            yield harness
        finally:
            await endless.stop()


@pytest.mark.parametrize('head, piece', FORMS)
def test_endless_answer_is_given_up_at_once(tmp_path, head, piece):
    # An instance held all that a faulty endpoint sent until the deadline, and
    # was killed for its memory with all of its requests.
    async def check():
        endless = EndlessEndpoint(head, piece)
        async with run_with(tmp_path, endless) as harness:
            budget = harness.gateway.core.byte_budget
            started = time.monotonic()
            answers = await asyncio.gather(
                *(harness.send('/proof/1', f'r-{n}') for n in range(6))
            )
            assert time.monotonic() - started < 2
            # Status 503 would state that the request has not run.
            assert {answer[0] for answer in answers} <= {502, 504}
            bodies = b''.join(answer[-1] for answer in answers)
            assert SECRET not in bodies
            assert endless.address.encode() not in bodies
            assert PREFIX.lower().encode() not in bodies.lower()
            assert len(bodies) < 6 * 500
            await harness.wait_until(lambda: budget.held == 0)
            health = harness.gateway.core.endpoint_health
            now = harness.gateway.core.now()
            assert health.failure_rate('raw', now) > 0

    run(check())


def test_endless_stream_event_is_given_up(tmp_path):
    # An event without an end was held back until the caller's deadline.
    async def check():
        endless = EndlessEndpoint(CHUNKED, b'1000\r\n' + b'd' * 4096 + b'\r\n')
        async with run_gateway(tmp_path) as harness:
            await register_engine(harness, endless)
            started = time.monotonic()
            status, _, _ = await harness.send('/blurb/1')
            assert status in {502, 504}
            assert time.monotonic() - started < 2
            await endless.stop()

    run(check())


def test_other_services_are_prompt_beside_endless_answers(tmp_path):
    # All endpoints of a service are faulty at once, and send as fast as the
    # instance reads.
    async def check():
        endless = [EndlessEndpoint(CHUNKED, CHUNK, 0.001) for _ in range(3)]
        site = Site(plain=make_plain(1))
        await site.start()
        async with run_gateway(tmp_path, site=site) as harness:
            for number, one in enumerate(endless):
                await one.start()
                one.name = f'endless-{number}'
                one.role = 'decode'
                site.list_endpoint(one)
            roster = harness.gateway.core.roster
            await harness.wait_until(lambda: len(roster.listings) == 4)
            bad = [
                asyncio.create_task(harness.send('/blurb/1', f'b-{n}'))
                for n in range(30)
            ]
            for number in range(20):
                started = time.monotonic()
                status, _, _ = await harness.send(
                    '/archive/1', f'g-{number}', method='GET'
                )
                assert status == 200
                assert time.monotonic() - started < 1
            await asyncio.gather(*bad)
            for one in endless:
                await one.stop()
        await site.stop()

    run(check())


@pytest.mark.parametrize('size', [0, 800, 65536, 4_000_000])
def test_whole_answer_of_ordinary_size_is_delivered(tmp_path, size):
    async def check():
        head = SIGNED + b'Content-Length: %d\r\n\r\n' % size
        one = EndlessEndpoint(head + bytes(size), b'', 3600)
        async with run_with(tmp_path, one) as harness:
            status, _, body = await harness.send('/proof/1')
            assert (status, len(body)) == (200, size)
            await harness.wait_until(
                lambda: harness.gateway.core.byte_budget.held == 0
            )

    run(check())


def test_bodies_beyond_the_bound_are_refused_at_once(tmp_path):
    # 40 uploads of 4 MB at once took an instance to its memory limit.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            budget = harness.gateway.core.byte_budget
            peaks = []
            for endpoint in harness.site.plain:
                endpoint.delay_s = 0.5

            async def send(number):
                body = bytes(4_000_000)
                found = await harness.send('/proof/1', f'r-{number}', data=body)
                return found[0], found[1].get('Retry-After')

            async def watch():
                while True:
                    peaks.append(budget.held)
                    await asyncio.sleep(0)

            watching = asyncio.create_task(watch())
            answers = await asyncio.gather(*(send(n) for n in range(40)))
            watching.cancel()
            assert max(peaks) <= budget.limit
            refused = [found for found in answers if found[0] == 429]
            assert refused
            assert all(retry_after for _, retry_after in refused)
            small = await harness.send('/proof/1', 'r-small', data=b'x')
            assert small[0] == 200
            await harness.wait_until(lambda: budget.held == 0)

    run(check())


def test_small_bodies_have_room_that_large_ones_cannot_take():
    # Large bodies must not keep small ones out, nor both of them answers.
    budget = ByteBudget(make_byte_limit(300_000_000))
    assert budget.limit == 60_000_000
    account = budget.account
    large_count = 0
    while account.reserve(account.open(Yielder()), 4_000_000):
        large_count += 1
    assert large_count == 7
    small = []
    while not any(one.yields for one in small):
        share = account.open(Yielder())
        account.receive(share, SMALL_BYTES)
        small.append(share)
    assert len(small) * SMALL_BYTES >= budget.limit // 4
    assert budget.held <= budget.limit
    answer = budget.open()
    assert answer.add(budget.limit // 4)
    assert not answer.add(budget.limit)
    assert budget.held <= budget.limit + SMALL_BYTES
    answer.release()
    for share in small:
        account.close(share)
    assert budget.held == 0
    # What is not released counts until its last reference.
    answer = budget.open()
    assert answer.add(1)
    answer = budget.open()
    assert answer.count == budget.held == 0


class Yielder:
    """A connection that takes its time to yield."""

    def yield_memory(self):
        """Hold on to what there is."""

    def count_unsent(self):
        """Return that all was sent."""
        return 0

    def end_unread(self):
        """Hold on to what there is."""


def read_peak(pid):
    """Return the highest resident memory of a process, in bytes."""
    with open(f'/proc/{pid}/status') as status:
        found = re.search(r'VmHWM:\s+(\d+) kB', status.read())
    return int(found.group(1)) * 1024


@pytest.mark.process
@pytest.mark.skipif(not os.path.exists('/proc/self/status'), reason='no /proc')
@pytest.mark.parametrize(
    'endpoints, requests, pause_s', [(1, 6, 0), (9, 90, 0), (9, 90, 0.02)]
)
def test_memory_stays_below_its_limit_beside_endless_answers(
    tmp_path, endpoints, requests, pause_s
):
    # Six requests took a process from 54 MB to 2,958 MB in three seconds; it
    # is killed at 300. All endpoints of the service are faulty, and send as
    # fast as the instance reads or more slowly.
    async def check():
        endless = [
            EndlessEndpoint(CHUNKED, CHUNK, pause_s) for _ in range(endpoints)
        ]
        async with start_instance(tmp_path, plain_count=0) as started:
            instance, site = started
            for number, one in enumerate(endless):
                await one.start()
                one.name = f'endless-{number}'
                site.list_endpoint(one)
            await asyncio.sleep(1)
            answers = await asyncio.gather(
                *(instance.send() for _ in range(requests))
            )
            assert all(one.requests for one in endless)
            assert all(status in {502, 504} for status, _ in answers)
            assert read_peak(instance.started.pid) < 300_000_000
        for stopped in endless:
            await stopped.stop()

    run(check())
