"""Shared by the scripts: instances as processes, callers, and the record."""

import asyncio
import contextlib
import json
import os
import tomllib
from pathlib import Path

from verbenahall_standins.platform import HOST, Site, write_settings

__all__ = (
    'HOST',
    'Site',
)

ROOT = Path(__file__).resolve().parents[2]
PREFIX = 'X-Verbenahall-'
#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
_READY_S = 30


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._loop = asyncio.get_running_loop()
        self._started = self._loop.time()

    def write(self, what, **fields):
        """Write a line with the time since the start."""
        at = self._loop.time() - self._started
        line = json.dumps({'at': round(at, 4), 'what': what, **fields})
        self._file.write(line + '\n')

    def close(self):
        """Write what is buffered."""
        self._file.close()


class Instance:
    """An instance, started with the command of the deploy file."""

    def __init__(self, folder, store, name):
        self.name = name
        self._path = write_settings(Path(folder), store, name)
        self._log = Path(folder) / f'{name}.log'
        settings = tomllib.loads(self._path.read_text())
        self.front = _split(settings['listen']['front'])
        self._ready = _split(settings['listen']['ready'])
        self.process = None

    async def start(self):
        """Start the process; it listens a moment later."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            **{name: os.environ[name] for name in kept if name in os.environ},
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'VERBENAHALL_CONFIG': str(self._path),
        }
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self):
        """Wait until the readiness check answers 200."""
        async with asyncio.timeout(_READY_S):
            while not await self._is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f'{self.name} has ended')
                await asyncio.sleep(0.1)

    async def stop(self):
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def _is_ready(self):
        request = b'GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        answer = await exchange(self._ready, request, 1)
        return answer.status == 200


class Answer:
    """What a caller read on its channel; ``status`` is 0 without an answer."""

    def __init__(self, raw, error=''):
        head, _, self.body = raw.partition(b'\r\n\r\n')
        words = head.split(b' ')
        is_http = raw.startswith(b'HTTP/1.') and len(words) > 1
        self.status = int(words[1]) if is_http else 0
        self.is_signed = b'server-stamp' in head.lower()
        self.error = error


async def exchange(address, request, within_s):
    """Send a request on a new channel and read to the channel's end."""
    raw = b''
    writer = None
    error = ''
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            while piece := await reader.read(65536):
                raw += piece
    except (OSError, TimeoutError) as failure:
        error = type(failure).__name__
    if writer is not None:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
    return Answer(raw, error)


def build_request(path, identity, *, method='POST', wait_ms=3000, body=b'', extra=()):
    """Return the bytes of a caller's request on a channel of its own."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'{PREFIX}Request-Id: {identity}',
        f'{PREFIX}Deadline-Ms: {wait_ms}',
        *extra,
        'Connection: close',
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def _split(address):
    host, _, port = address.rpartition(':')
    return host, int(port)
