"""Answers that break off while the request is still being written."""

import functools
import re

import pytest
from verbenahall_standins.cutting import CuttingEndpoint
from verbenahall_standins.platform import add_request_id

from .conftest import run, run_gateway
from .test_odd_answers import register_page

UPLOAD_BYTES = 3_000_000
#: A part of an answer that has no length and ends with its connection.
PART = (
    b'HTTP/1.1 200 OK\r\nX-Verbenahall-Server-Stamp: s\r\n\r\n' + b'part ' * 25
)
REQUESTS = 8
IDENTITY = re.compile(rb'X-Verbenahall-Request-Id: [^\r]*', re.IGNORECASE)


def make_part(head):
    """Return the beginning of an answer to a request."""
    return add_request_id(PART, head)


@pytest.mark.parametrize('reset', [True, False])
@pytest.mark.parametrize('read_bytes', [0, 65_536, 1_500_000, 2_900_000])
@pytest.mark.parametrize('path', ['/proof/1', '/archive/1'])
def test_answer_cut_during_the_upload_is_not_whole(
    tmp_path, path, read_bytes, reset
):
    # A caller got a part of an answer without a length as the whole answer.
    async def check():
        cutting = CuttingEndpoint(make_part, read_bytes, reset=reset)
        async with run_gateway(tmp_path) as harness:
            await register_page(harness, cutting)
            for number in range(REQUESTS):
                status, _, _ = await harness.send(
                    path, f'r-{number}', data=bytes(UPLOAD_BYTES)
                )
                assert status in {502, 504}
            assert cutting.requests
            await cutting.stop()

    run(check())


def test_answer_without_length_after_the_upload_is_whole(tmp_path):
    async def check():
        whole = CuttingEndpoint(make_part, UPLOAD_BYTES, reset=False)
        async with run_gateway(tmp_path) as harness:
            await register_page(harness, whole)
            for number in range(REQUESTS):
                status, _, body = await harness.send(
                    '/proof/1', f'r-{number}', data=bytes(UPLOAD_BYTES)
                )
                assert (status, body) == (200, b'part ' * 25)
            await whole.stop()

    run(check())


STATUSES = [
    b'000',
    b'001',
    b'099',
    b'600',
    b'666',
    b'999',
    b'20',
    b'2000',
    b'abc',
    b'-20',
    b'2e2',
]


def make_odd_answer(version, status, head):
    """Return a whole answer to a request, with an odd status line."""
    identity = IDENTITY.search(head).group()
    return (
        b'HTTP/%b %b OK\r\nX-Verbenahall-Server-Stamp: s\r\n%b\r\n'
        b'Content-Length: 4\r\n\r\npage' % (version, status, identity)
    )


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('version', [b'1.0', b'1.1', b'0.9', b'2.0'])
def test_answer_with_another_status_is_none(tmp_path, status, version):
    # A caller got an answer with the status 000 of an endpoint in trouble.
    # RFC 9110 (15): a status outside of 100 to 599 is invalid.
    async def check():
        make = functools.partial(make_odd_answer, version, status)
        odd = CuttingEndpoint(make, 0, reset=False)
        async with run_gateway(tmp_path) as harness:
            await register_page(harness, odd)
            for path in ('/proof/1', '/archive/1'):
                found, _, body = await harness.send(path)
                assert found in {502, 504}
                assert b'page' not in body
            assert odd.requests
            await odd.stop()

    run(check())
