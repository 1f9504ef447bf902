"""Small workers that follow the users' pages, on raw channels."""

import asyncio
import contextlib
import json
import random

_PREFIX = 'X-Verbenahall-'
#: Additional bytes after a complete response: they bear no request's id.
_STRAY = tuple(
    f'HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n'.encode()
    for line in (
        '408 Request Timeout',
        '421 Misdirected Request',
        '503 Service Unavailable',
    )
)
#: Events that a stream of a few tokens has, and seconds to its first event.
_EVENTS = 1


class ModelWorker:
    """A model worker in the stage ``decode``; it rejects what it has no slot for.

    ``doubled_share`` is the share of its answers to requests of which it sends
    a second copy, at the point of the channel where the next response is
    expected. ``runs`` and ``refusals`` hold the ids of requests in order.
    """

    def __init__(
        self, name, service, slots, run_s, one_way_s, doubled_share, seed, record
    ):
        self.name = name
        self.service = service
        self.role = 'decode'
        self.version = 'v1'
        self.address = ''
        self.runs = []
        self.refusals = []
        self.doubled = 0
        self._slots = slots
        self._run_s = run_s
        self._one_way_s = one_way_s
        self._doubled_share = doubled_share
        self._random = random.Random(seed)
        self._record = record
        self._running = 0
        self._orders = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self):
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        extra = b''
        try:
            while True:
                request = await _read_request(reader)
                await asyncio.sleep(self._one_way_s)
                # An extra response arrives where the next one is expected.
                writer.write(extra)
                extra = await self._answer(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, reader, writer):
        """Answer a request; return the extra response that follows later."""
        method, path, headers, body = request
        if path == '/-/report':
            return _write_json(writer, 200, self._report())
        if path == '/-/order':
            return _write_json(writer, self._take_order(body), {})
        if method == 'DELETE' or path == '/health':
            return _write_json(writer, 200, {})
        identity = headers.get('x-verbenahall-request-id', '')
        expected = headers.get('x-verbenahall-expect-instance', self.name)
        if expected != self.name or 'x-verbenahall-stage' in headers:
            return await self._refuse(writer, identity, 421)
        if self._running >= self._slots:
            self.refusals.append(identity)
            self._record.write('refused', worker=self.name, request=identity)
            return await self._refuse(writer, identity, 503)
        self._running += 1
        self.runs.append(identity)
        self._record.write('run', worker=self.name, request=identity)
        try:
            await self._stream(identity, reader, writer)
        finally:
            self._running -= 1
        return b''

    async def _stream(self, identity, reader, writer):
        head = (
            f'HTTP/1.1 200 OK\r\n{_PREFIX}Request-Id: {identity}\r\n'
            f'{_PREFIX}Server-Stamp: stamp-{self.name}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        # The work ends when the channel closes.
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait([closed], timeout=self._run_s + self._one_way_s)
            if closed.done():
                raise ConnectionResetError
        finally:
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await closed
        for number in range(1, _EVENTS + 1):
            event = f'id: {number}\ndata: tokens of {identity}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        writer.write(b'0\r\n\r\n')

    async def _refuse(self, writer, identity, status):
        answer = (
            f'HTTP/1.1 {status} Not Run\r\n'
            f'{_PREFIX}Request-Id: {identity}\r\n'
            f'{_PREFIX}Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
        ).encode()
        await asyncio.sleep(self._one_way_s)
        writer.write(answer)
        if self._random.random() >= self._doubled_share:
            return b''
        self.doubled += 1
        self._record.write('doubled', worker=self.name, request=identity)
        return answer

    def _take_order(self, body):
        order = json.loads(body)
        if order.get('expect', self._orders) != self._orders:
            return 409
        return 200 if order['stage'] == self.role else 400

    def _report(self):
        return {
            'stage': self.role,
            'state': 'ready',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'seq': self._orders,
            'waiting': 0,
            'running': self._running,
            'kvUsed': 0,
            'kvTotal': 444_000,
            'handles': 0,
        }


class PlainWorker:
    """A plain worker that keeps the requests as it received them.

    A request takes ``run_s`` seconds. After ``spoiled_share`` of its answers it
    sends additional bytes, at the point of the channel where the next response
    is expected. ``runs`` holds the requests by their ids.
    """

    def __init__(self, name, service, record, run_s=0, spoiled_share=0, seed=0):
        self.name = name
        self.service = service
        self.role = ''
        self.version = 'v1'
        self.address = ''
        self.runs = {}
        self.spoiled = 0
        self._record = record
        self._run_s = run_s
        self._spoiled_share = spoiled_share
        self._random = random.Random(seed)
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self):
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        extra = b''
        try:
            while True:
                request = await _read_request(reader)
                writer.write(extra)
                extra = await self._answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        """Answer a request; return the bytes that follow later."""
        method, path, headers, body = request
        if path == '/health':
            return _write_json(writer, 200, {})
        identity = headers.get('x-verbenahall-request-id', '')
        expected = headers.get('x-verbenahall-expect-instance', self.name)
        if expected != self.name:
            head = (
                f'HTTP/1.1 421 Misdirected\r\n'
                f'{_PREFIX}Request-Id: {identity}\r\n'
                f'{_PREFIX}Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
            )
            writer.write(head.encode())
            return b''
        self.runs.setdefault(identity, []).append(request)
        self._record.write(
            'run',
            worker=self.name,
            request=identity,
            method=method,
            path=path,
            encoding=headers.get('content-encoding', ''),
            body=body[:60].hex(),
            length=len(body),
        )
        await asyncio.sleep(self._run_s)
        page = f'page for {identity}'.encode()
        head = (
            f'HTTP/1.1 200 OK\r\n{_PREFIX}Request-Id: {identity}\r\n'
            f'{_PREFIX}Server-Stamp: stamp-{self.name}\r\n'
            f'Content-Length: {len(page)}\r\n\r\n'
        )
        writer.write(head.encode() + page)
        if self._random.random() >= self._spoiled_share:
            return b''
        self.spoiled += 1
        self._record.write('spoiled', worker=self.name, request=identity)
        return self._random.choice(_STRAY)


async def _read_request(reader):
    """Return the method, path, headers and body of the next request."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, path, _ = first.split(' ')
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length) if length else b''
    return method, path, headers, body


def _write_json(writer, status, table):
    body = json.dumps(table).encode()
    head = (
        f'HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    return b''
