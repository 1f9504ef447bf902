"""The gateway as a process of its own, and its handling of signals."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import aiohttp
import pytest
from verbenahall_standins.platform import Site, make_route, write_settings

from verbenahall.platform import read_settings

from .conftest import HOST, make_plain, run

pytestmark = pytest.mark.process

#: The platform's grace period in the stand-in's settings, in seconds.
GRACE_S = 8


class Instance:
    """A gateway process, and a session of its callers."""

    def __init__(self, started, settings, session, output):
        self.started = started
        self.settings = settings
        self.session = session
        self.output = output

    async def send(self, path='/archive/1'):
        """Send a request to a plain service; return status and body."""
        url = f'http://{self.settings.callers}{path}'
        headers = {'Host': HOST, 'X-Verbenahall-Request-Id': 'r-1'}
        async with self.session.get(url, headers=headers) as response:
            return response.status, await response.read()

    async def read_readiness(self):
        """Return the status of a readiness check, or 0 without a response."""
        url = f'http://{self.settings.readiness}/-/ready'
        try:
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def wait_ready(self):
        """Wait until the instance is ready for callers."""
        async with asyncio.timeout(20):
            while await self.read_readiness() != 200:
                assert self.started.returncode is None
                await asyncio.sleep(0.05)

    def read_events(self):
        """Return the events that the process has logged."""
        lines = self.output.read_text().splitlines()
        return [json.loads(line)['event'] for line in lines]


@contextlib.asynccontextmanager
async def start_instance(
    folder, engines=(), plain_count=1, starting=None, hangup_after_s=None
):
    """Run a gateway process in front of plain endpoints and engines.

    ``starting`` is awaited with the process before the instance is ready. With
    ``hangup_after_s`` it gets SIGHUP so many seconds after its start.
    """
    site = Site(engines, make_plain(plain_count))
    await site.start()
    path = write_settings(folder, site.store.address)
    output = folder / 'output'
    with output.open('wb') as stdout:
        started = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'verbenahall',
            env={**os.environ, 'VERBENAHALL_CONFIG': str(path)},
            stdout=stdout,
        )
    if hangup_after_s is not None:
        await asyncio.sleep(hangup_after_s)
        started.send_signal(signal.SIGHUP)
    try:
        async with aiohttp.ClientSession() as session:
            instance = Instance(
                started,
                read_settings(path).unwrap(),
                session,
                output,
            )
            if starting is not None:
                await starting(started)
            await instance.wait_ready()
            yield instance, site
    finally:
        if started.returncode is None:
            started.kill()
            await started.wait()
        await site.stop()


def test_hangup_signal_interrupts_no_request(tmp_path):
    # The platform sends SIGHUP when it has rewritten the settings file. Its
    # default action would end the process and abort every open request.
    async def check():
        async with start_instance(tmp_path) as (instance, site):
            site.plain[0].delay_s = 0.5
            response = asyncio.create_task(instance.send())
            await asyncio.sleep(0.2)
            instance.started.send_signal(signal.SIGHUP)
            assert await response == (200, b'page from page-0')
            assert await instance.send() == (200, b'page from page-0')
            assert 'reload' in instance.read_events()

    run(check())


def test_hangup_signal_does_not_end_a_process_that_starts(tmp_path):
    # The settings file changes just after a restart. The process was ended
    # while it still imported its modules, with the exit code -1.
    async def check():
        async with start_instance(tmp_path, hangup_after_s=0.2) as (one, _):
            assert await one.send() == (200, b'page from page-0')

    run(check())


def test_open_request_is_finished_before_the_process_ends(tmp_path):
    # The platform stops an instance while a request is open. The request is
    # completed, readiness fails at once, and the exit code is 0.
    async def check():
        async with start_instance(tmp_path) as (instance, site):
            site.plain[0].delay_s = 1
            response = asyncio.create_task(instance.send())
            await asyncio.sleep(0.3)
            instance.started.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await instance.read_readiness() == 503
            assert await response == (200, b'page from page-0')
            async with asyncio.timeout(GRACE_S):
                assert await instance.started.wait() == 0
            assert instance.read_events()[-1] == 'stopped'

    run(check())


def hang_up(process):
    """Send SIGHUP to a process that may have ended.

    ``send_signal`` may reap it, and the event loop would then report 255 as its
    exit code.
    """
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, signal.SIGHUP)


def test_hangup_signal_does_not_spoil_a_graceful_stop(tmp_path):
    # The settings file changes while the platform stops an instance. The
    # process must end by itself, with the exit code of a graceful stop.
    async def check():
        async with start_instance(tmp_path) as (instance, _):
            instance.started.send_signal(signal.SIGTERM)
            async with asyncio.timeout(GRACE_S):
                while instance.started.returncode is None:
                    hang_up(instance.started)
                    await asyncio.sleep(0.005)
            assert instance.started.returncode == 0

    run(check())


@pytest.mark.parametrize('after_s', [3.4, 4.4])
def test_late_request_to_a_stopping_instance_is_refused_at_once(
    tmp_path,
    after_s,
):
    # A caller uses a connection from before the stop after the listener has
    # closed, 3 s or more after the signal, while the process waits for another
    # request. An accepted call would be aborted at the end of the grace period;
    # a refused one is retried at another instance.
    async def check():
        async with start_instance(tmp_path) as (instance, site):
            slow = make_route(
                '/slow/',
                'non_idempotent',
                'pages',
                timeoutMs=8000,
                maxAttempts=1,
            )
            site.publish(added=[slow])
            await asyncio.sleep(0.5)
            site.plain[0].delay_s = 6
            response = asyncio.create_task(instance.send('/slow/1'))
            await asyncio.sleep(0.2)
            # The second caller's connection is idle when the stop begins.
            site.plain[0].delay_s = 0
            host, _, port = instance.settings.callers.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            instance.started.send_signal(signal.SIGTERM)
            await asyncio.sleep(after_s)
            runs = len(site.plain[0].runs)
            writer.write(
                f'GET /archive/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode()
            )
            async with asyncio.timeout(0.5):
                head = await reader.readuntil(b'\r\n\r\n')
            assert b' 503 ' in head
            assert b'connection: close' in head.lower()
            assert b'retry-after: 0.05' in head.lower()
            assert len(site.plain[0].runs) == runs
            writer.close()
            assert (await response)[0] == 200

    run(check())


def test_invalid_settings_are_reported_and_prevent_the_start(tmp_path):
    # Required settings are missing. The instance must not start incomplete.
    async def check():
        path = tmp_path / 'settings.toml'
        path.write_text('nodeName = "front-1"\n')
        started = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'verbenahall',
            env={**os.environ, 'VERBENAHALL_CONFIG': str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, error_output = await started.communicate()
        assert started.returncode == 1
        assert b'platform.address' in error_output
        assert str(path).encode() in error_output

    run(check())
