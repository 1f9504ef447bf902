"""A small worker that follows the users' pages, on raw channels."""

import asyncio
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
