"""An instance as a process, with lowered limits, and its ordinary callers."""

import asyncio
import contextlib
import os
import sys

import aiohttp
import pytest
from verbenahall_standins.crowds import Crowd, DiscardingEndpoint, UsageSampler
from verbenahall_standins.platform import HOST, Site, write_settings

from verbenahall.platform import read_settings

#: Memory and descriptors that the settings grant the process. Of the
#: descriptors, 200 are for files.
MEMORY_BYTES = 100_000_000
DESCRIPTORS = 600
#: Size of an ordinary body, in bytes.
ORDINARY_BYTES = 100_000
#: Tries of an ordinary caller, and the pause between them in seconds.
TRIES = 100
PAUSE_S = 0.2


class Process:
    """A process, the address of a listener and what ordinary callers send.

    ``requests`` are the options of requests, by URL.
    """

    def __init__(self, pid, addresses, requests):
        self.pid = pid
        self.addresses = addresses
        self.requests = requests

    def is_alive(self):
        """Whether the process runs; one that was killed is a zombie."""
        with contextlib.suppress(FileNotFoundError):
            with open(f'/proc/{self.pid}/stat') as stat:
                return stat.read().rpartition(') ')[2][0] != 'Z'
        return False

    async def check_answers(self):
        """Check that each ordinary request is answered, if need be later.

        A caller that is refused or gets no answer comes back.
        """
        for url, options in self.requests.items():
            assert await self._send_until_answered(url, options) == 200, url

    async def check_crowd(self, form, target, address):
        """Run a crowd; check the bounds, and answers beside it and after it."""
        ports = [int(one.rpartition(':')[2]) for one in self.addresses]
        await self.check_answers()
        async with UsageSampler(self.pid, ports) as sampler:
            async with Crowd(form, target, address):
                assert self.is_alive()
                await self.check_answers()
                sampler.sample()
            await self.check_answers()
        assert self.is_alive()
        assert sampler.usage.memory_bytes < MEMORY_BYTES
        assert sampler.usage.descriptors < DESCRIPTORS

    async def _send_until_answered(self, url, options):
        status = None
        for _ in range(TRIES):
            assert self.is_alive()
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                status = await send(url, **options)
            if status == 200:
                break
            await asyncio.sleep(PAUSE_S)
        return status


async def send(url, **options):
    """Send a request on a new connection; return the status."""
    timeout = aiohttp.ClientTimeout(total=5)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(url=url, **options) as response,
    ):
        await response.read()
        return response.status


@contextlib.asynccontextmanager
async def start_process(folder):
    """Run an instance with lowered limits in front of one endpoint."""
    site = Site(plain=[DiscardingEndpoint('page-0')])
    await site.start()
    path = write_settings(folder, site.store.address)
    limits = f'memoryMb = {MEMORY_BYTES // 10**6}\nmaxFds = {DESCRIPTORS}'
    path.write_text(path.read_text().replace('memoryMb = 300', limits))
    with (folder / 'output').open('wb') as output:
        started = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'verbenahall',
            env={**os.environ, 'VERBENAHALL_CONFIG': str(path)},
            stdout=output,
        )
    settings = read_settings(path).unwrap()
    try:
        yield make_process(started.pid, settings), settings
    finally:
        await end(started)
        await site.stop()


async def end(started):
    """Kill a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        started.kill()
    await started.wait()


def make_process(pid, settings):
    """Return a process of the platform's settings."""
    base = f'http://{settings.callers}'
    identity = {'X-Verbenahall-Request-Id': 'ordinary-1', 'Host': HOST}
    post = {
        'method': 'POST',
        'data': bytes(ORDINARY_BYTES),
        'headers': identity,
    }
    readiness = f'http://{settings.readiness}/-/ready'
    return Process(
        pid,
        [
            settings.callers,
            settings.readiness,
            settings.peer_address,
            f'{settings.ip}:{settings.metrics_port}',
        ],
        {
            readiness: {'method': 'GET'},
            f'{base}/archive/1': {'method': 'GET', 'headers': identity},
            f'{base}/archive/2': post,
        },
    )


@pytest.fixture
def run_process(tmp_path):
    """Return a function that runs a check with a started process."""

    def run(check):
        async def start_and_check():
            async with start_process(tmp_path) as started:
                await check(*started)

        asyncio.run(start_and_check())

    return run
