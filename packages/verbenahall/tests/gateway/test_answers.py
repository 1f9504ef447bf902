"""Malformed, duplicate and truncated answers of endpoints."""

import asyncio

import pytest
from verbenahall_standins.platform import RawEndpoint

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._answers import build_problem_response

from .conftest import run, run_gateway


def build_answer(identity, body=b'good', *, stamp=True, length=True):
    """Build the bytes of an endpoint's answer."""
    lines = [b'HTTP/1.1 200 OK', b'X-Verbenahall-Request-Id: ' + identity]
    if stamp:
        lines.append(b'X-Verbenahall-Server-Stamp: s')
    if length:
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])


async def register_raw(harness, raw):
    """Register a raw endpoint as the only one of the plain service."""
    await raw.start()
    raw.name = 'raw'
    raw.role = ''
    harness.site.list_endpoint(raw)
    roster = harness.gateway.core.roster
    await harness.wait_until(lambda: 'raw' in roster.listings)


async def request_raw(folder, *pieces):
    """Send a request to an endpoint that answers ``pieces``.

    Return status and body.
    """
    raw = RawEndpoint(pieces)
    async with run_gateway(folder) as harness:
        await register_raw(harness, raw)
        status, _, body = await harness.send('/proof/1', 'r-1')
    await raw.stop()
    return status, body


async def check_two_requests(folder, raw):
    """Send two requests and expect the answers ``one`` and ``two``."""
    async with run_gateway(folder) as harness:
        await register_raw(harness, raw)
        assert (await harness.send('/proof/1', 'r-1'))[2] == b'one'
        await asyncio.sleep(0.1)
        status, _, body = await harness.send('/proof/1', 'r-2')
        assert (status, body) == (200, b'two')
        await raw.stop()


def test_duplicate_answer_is_not_given_to_the_next_caller(tmp_path):
    # An endpoint answers a request twice. Read from the kept-alive connection
    # as the answer to the next request, the duplicate would give another
    # caller's page to its caller.
    async def check():
        raw = RawEndpoint(
            (build_answer(b'r-1', b'one'), build_answer(b'r-1', b'one')),
            (build_answer(b'r-2', b'two'),),
        )
        await check_two_requests(tmp_path, raw)

    run(check())


def test_late_duplicate_answer_is_skipped(tmp_path):
    # The duplicate arrives after the next request was sent on the connection,
    # just before that request's own answer.
    async def check():
        raw = RawEndpoint(
            (build_answer(b'r-1', b'one'),),
            (build_answer(b'r-1', b'one'), build_answer(b'r-2', b'two')),
        )
        async with run_gateway(tmp_path) as harness:
            await register_raw(harness, raw)
            await harness.send('/proof/1', 'r-1')
            status, _, body = await harness.send('/proof/1', 'r-2')
            assert (status, body) == (200, b'two')
            assert raw.connections == 1
            await raw.stop()

    run(check())


@pytest.mark.parametrize(
    'pieces',
    [
        (build_answer(b'r-1', b'one') + b'<p>stray</p>',),
        (build_answer(b'r-1', b'one'), b'<p>stray</p>'),
        (build_answer(b'r-1', b'one'), b'HTTP/1.1 200 OK\r\n'),
    ],
)
def test_bytes_after_an_answer_belong_to_no_call(tmp_path, pieces):
    # A faulty endpoint sends bytes beyond the end of its answer, at once or a
    # little later. Read as the start of the next answer, they would corrupt it
    # or become part of it.
    async def check():
        raw = RawEndpoint(pieces, (build_answer(b'r-2', b'two'),))
        await check_two_requests(tmp_path, raw)

    run(check())


def test_truncated_answer_is_an_error(tmp_path):
    # The endpoint dies in the middle of its answer. With a status of 200 the
    # caller would take half a page for the whole one.
    whole = build_answer(b'r-1', b'a whole page')
    status, body = run(request_raw(tmp_path, whole[:-5], b''))
    assert status in {502, 504}
    assert b'a whole' not in body


def test_answer_without_length_ends_with_its_connection(tmp_path):
    pieces = (build_answer(b'r-1', b'a page', length=False), b'')
    assert run(request_raw(tmp_path, *pieces)) == (200, b'a page')


def test_reset_answer_without_length_is_an_error(tmp_path):
    # An answer without a length ends when its connection is closed. A reset
    # must not count as that, or half a page is relayed as complete.
    pieces = (build_answer(b'r-1', b'half a', length=False), None)
    status, _ = run(request_raw(tmp_path, *pieces))
    assert status in {502, 504}


def test_bytes_that_are_not_http_fail_the_call(tmp_path):
    status, _ = run(request_raw(tmp_path, b'\x00\x01 not an answer\r\n\r\n'))
    assert status in {502, 504}


def test_call_on_a_closed_kept_connection_is_not_sent_again(tmp_path):
    # An endpoint closes a kept-alive connection when a GET that may run only
    # once arrives on it. The HTTP library retries such a call by itself,
    # although the endpoint may have run it already.
    async def check():
        raw = RawEndpoint((build_answer(b'r-1', b'one'),), (None,))
        async with run_gateway(tmp_path) as harness:
            await register_raw(harness, raw)
            await harness.send('/proof/1', 'r-1', method='GET')
            status, _, _ = await harness.send('/proof/1', 'r-2', method='GET')
            assert status in {502, 504}
            assert len(raw.requests) == 2
            await raw.stop()

    run(check())


@pytest.mark.parametrize('kind', ErrorKind)
def test_status_of_a_request_that_may_have_run_is_no_refusal(kind):
    """A prefill failed after an attempt that may have run: 503."""
    response = build_problem_response(Problem(kind, '', Ran.UNKNOWN), 'r-1')
    assert response.status not in {408, 421, 429, 503}
    assert 'Retry-After' not in response.headers
