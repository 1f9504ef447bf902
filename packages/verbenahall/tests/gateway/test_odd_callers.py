"""Requests of callers that use HTTP in a less common way."""

import asyncio

from .conftest import HOST, PREFIX, make_engines, make_plain, run, run_gateway

HEAD = (
    f'Host: {HOST}\r\n{PREFIX}Deadline-Ms: 2000\r\n{PREFIX}Model: m\r\n'
    f'{PREFIX}Token-Count: 1000,50\r\n{PREFIX}Prompt-Prefix: aa:800,bb:200\r\n'
    'Connection: close\r\nContent-Length: 0\r\n'
).encode()


async def ask(harness, line, request_id):
    """Send a request on a connection of its own; return the status line."""
    host, _, port = harness.gateway.core.settings.callers.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    identity = f'{PREFIX}Request-Id: '.encode() + request_id
    writer.write(line + b'\r\n' + HEAD + identity + b'\r\n\r\n')
    async with asyncio.timeout(3):
        answer = await reader.read()
    writer.close()
    return answer


def test_answer_to_a_request_id_that_is_no_utf8_is_delivered(tmp_path):
    # Bytes of the id are not sent to the endpoint. Its answer was taken for
    # that of another request, and the caller got 504 at the deadline.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            line = b'POST /proof/1 HTTP/1.1'
            answer = await ask(harness, line, b'caf\xe9')
            assert answer.startswith(b'HTTP/1.1 200 ')
            assert answer.endswith(b'page from page-0')

    run(check())


def test_stream_of_an_http_1_0_caller_is_whole(tmp_path, numbers):
    # Such a caller knows no chunks, and got 500 for a request that ran.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            answer = await ask(harness, b'POST /summary/1 HTTP/1.0', b'r-1')
            head, _, body = answer.partition(b'\r\n\r\n')
            assert b' 200 ' in head.splitlines()[0]
            assert b'chunked' not in head
            assert numbers(body) == [1, 2, 3, 4, 5]

    run(check())
