"""The listener that accepts callers' connections or resets them unread."""

import asyncio
import errno
import socket
from unittest import mock

import pytest

from verbenahall import journal
from verbenahall.gateway._listener import GuardedListener

from .conftest import run


class Echo(asyncio.Protocol):
    """Returns what it receives."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(data)


def find_port():
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return probe.getsockname()[1]


class Exhausted:
    """A listening socket in a process that has no descriptor left."""

    def __init__(self, listening):
        self.listening = listening
        self.tries = 0

    def accept(self):
        self.tries += 1
        raise OSError(errno.EMFILE, 'too many open files')

    def __getattr__(self, name):
        return getattr(self.listening, name)


async def exchange(port):
    """Send a byte on a new connection; return what comes back."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'x')
    async with asyncio.timeout(2):
        answer = await reader.read(1)
    writer.close()
    return answer


def test_waiting_connections_are_all_served(tmp_path):
    async def check():
        port = find_port()
        listener = GuardedListener(Echo, lambda: True)
        listener.start(f'127.0.0.1:{port}')
        answers = await asyncio.gather(*(exchange(port) for _ in range(300)))
        await listener.stop()
        assert set(answers) == {b'x'}
        with pytest.raises(OSError):
            await exchange(port)

    run(check())


def test_refused_connection_is_reset_unread():
    # Closed in an orderly way, it would look like an answer that was lost.
    async def check():
        port = find_port()
        listener = GuardedListener(Echo, bool)
        listener.start(f'127.0.0.1:{port}')
        with pytest.raises(ConnectionResetError):
            await exchange(port)
        await listener.stop()

    run(check())


def test_lack_of_descriptors_does_not_spin_the_loop():
    # The listening socket stays readable. Tried without end, the process would
    # serve nobody and fill the log.
    async def check():
        port = find_port()
        created = []

        def create(*arguments, **options):
            created.append(Exhausted(original(*arguments, **options)))
            return created[-1]

        original = socket.create_server
        listener = GuardedListener(Echo, lambda: True)
        with mock.patch.object(socket, 'create_server', create):
            listener.start(f'127.0.0.1:{port}')
        writing = asyncio.create_task(exchange(port))
        await asyncio.sleep(0.7)
        writing.cancel()
        await listener.stop()
        assert 1 <= created[0].tries <= 6
        assert any(one['event'] == 'accept_failed' for one in journal.recent)

    run(check())
