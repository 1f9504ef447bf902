"""Answers whose reading is paused because they are read slowly."""

import asyncio

from verbenahall.platform import make_session

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNKS = 20_000


def test_end_of_an_answer_is_read_after_a_pause():
    # What the parser kept during the pause was parsed only with further bytes,
    # and an answer that had arrived whole did not end.
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD + b'1\r\nx\r\n' * CHUNKS + b'0\r\n\r\n')

    async def run():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server, make_session() as session, asyncio.timeout(5):
            async with session.get(f'http://127.0.0.1:{port}/') as response:
                await asyncio.sleep(0.2)
                return await response.read()

    assert asyncio.run(run()) == b'x' * CHUNKS
