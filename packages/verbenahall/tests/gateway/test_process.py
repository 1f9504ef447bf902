"""The gateway as a process of its own, and the signals that it gets."""

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

#: The platform's grace in the stand-in's settings, in seconds.
GRACE_S = 8


class Instance:
    """A started gateway, and a session of its callers."""

    def __init__(self, started, settings, session, output):
        self.started = started
        self.settings = settings
        self.session = session
        self.output = output

    async def ask(self, path='/archive/1'):
        """Ask a plain service; return status and body."""
        url = f'http://{self.settings.callers}{path}'
        headers = {'Host': HOST, 'X-Verbenahall-Request-Id': 'r-1'}
        async with self.session.get(url, headers=headers) as response:
            return response.status, await response.read()

    async def read_readiness(self):
        """Ask as the balancer does; return the status, 0 without an answer."""
        url = f'http://{self.settings.readiness}/-/ready'
        try:
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def wait_ready(self):
        """Wait until callers may come."""
        async with asyncio.timeout(20):
            while await self.read_readiness() != 200:
                await asyncio.sleep(0.05)

    def read_events(self):
        """Return the events that the process has written."""
        lines = self.output.read_text().splitlines()
        return [json.loads(line)['event'] for line in lines]


@contextlib.asynccontextmanager
async def start_instance(folder):
    """Run a gateway process in front of one plain endpoint."""
    site = Site(plain=make_plain(1))
    await site.start()
    path = write_settings(folder, site.store.address)
    output = folder / 'output'
    with output.open('wb') as stdout:
        started = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'verbenahall.gateway',
            env={**os.environ, 'VERBENAHALL_CONFIG': str(path)},
            stdout=stdout,
        )
    try:
        async with aiohttp.ClientSession() as session:
            instance = Instance(
                started,
                read_settings(path).unwrap(),
                session,
                output,
            )
            await instance.wait_ready()
            yield instance, site
    finally:
        if started.returncode is None:
            started.kill()
            await started.wait()
        await site.stop()


def test_hangup_cuts_nothing(tmp_path):
    # The platform tells by SIGHUP that the settings file was written anew.
    # Its default ends the process and cuts every open request.
    async def check():
        async with start_instance(tmp_path) as (instance, site):
            site.plain[0].delay_s = 0.5
            asked = asyncio.create_task(instance.ask())
            await asyncio.sleep(0.2)
            instance.started.send_signal(signal.SIGHUP)
            assert await asked == (200, b'page from page-0')
            assert await instance.ask() == (200, b'page from page-0')
            assert 'reload' in instance.read_events()

    run(check())


def test_open_request_is_finished_before_the_process_ends(tmp_path):
    # The platform stops an instance while a request is open. It is answered,
    # the balancer is told at once, and the exit code is that of a good end.
    async def check():
        async with start_instance(tmp_path) as (instance, site):
            site.plain[0].delay_s = 1
            asked = asyncio.create_task(instance.ask())
            await asyncio.sleep(0.3)
            instance.started.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await instance.read_readiness() == 503
            assert await asked == (200, b'page from page-0')
            async with asyncio.timeout(GRACE_S):
                assert await instance.started.wait() == 0
            assert instance.read_events()[-1] == 'stopped'

    run(check())


@pytest.mark.parametrize('after_s', [3.4, 4.4])
def test_late_request_to_a_stopping_instance_is_refused_at_once(
    tmp_path,
    after_s,
):
    # A caller kept its connection open since before the stop and uses it after
    # the listener has closed, 3 s and more after the signal, while the process
    # stays for another request. Taken, the call would be cut when the grace
    # period ends; refused, it goes elsewhere.
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
            asked = asyncio.create_task(instance.ask('/slow/1'))
            await asyncio.sleep(0.2)
            # Its connection is open and idle when the stop begins.
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
            assert (await asked)[0] == 200

    run(check())


def test_bad_settings_end_the_start_and_are_told(tmp_path):
    # The settings lack what the instance needs. It must not run half set up.
    async def check():
        path = tmp_path / 'settings.toml'
        path.write_text('nodeName = "front-1"\n')
        started = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'verbenahall.gateway',
            env={**os.environ, 'VERBENAHALL_CONFIG': str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, told = await started.communicate()
        assert started.returncode == 1
        assert b'platform.address' in told
        assert str(path).encode() in told

    run(check())
