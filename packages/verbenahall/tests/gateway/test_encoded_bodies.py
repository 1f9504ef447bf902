"""Bodies of requests that have a Content-Encoding."""

import asyncio
import gzip
import re
import zlib

import pytest
from verbenahall_standins.platform import add_request_id

from .conftest import run, run_gateway
from .test_odd_answers import register_page

ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Verbenahall-Server-Stamp: s\r\n'
    b'Content-Length: 4\r\n\r\npage'
)
BODIES = {
    'gzip': gzip.compress(b'the body of a request'),
    'deflate': zlib.compress(b'the body of a request'),
    'br': b'the body, in a coding that is not known here',
    'gzip, br': b'two codings',
}


class RecordingEndpoint:
    """Keeps the head and the bytes of the last request."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def serve(self, reader, writer):
        self.head = await reader.readuntil(b'\r\n\r\n')
        length = re.search(rb'content-length: (\d+)', self.head.lower())
        self.body = await reader.readexactly(int(length.group(1)))
        writer.write(add_request_id(ANSWER, self.head))
        await writer.drain()
        writer.close()


@pytest.mark.parametrize('coding', BODIES)
def test_body_reaches_the_endpoint_as_it_was_sent(tmp_path, coding):
    # The library decoded it on arrival: the endpoint got another body, or the
    # caller 400. A few bytes that decode to megabytes were counted as a few.
    async def check():
        recording = RecordingEndpoint()
        async with run_gateway(tmp_path) as harness:
            await register_page(harness, recording)
            status, _, _ = await harness.send(
                '/proof/1',
                data=BODIES[coding],
                headers={'Content-Encoding': coding},
            )
            assert status == 200
            assert recording.body == BODIES[coding]
            head = recording.head.decode().lower()
            assert f'content-encoding: {coding}' in head
            recording.server.close()

    run(check())
