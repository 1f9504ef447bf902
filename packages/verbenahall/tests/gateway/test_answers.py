"""Answers on the wire that are not what they seem."""

import asyncio

import pytest
from verbenahall_standins.platform import RawEndpoint

from .conftest import open_desk, run


def answer(identity, body=b'good', *, stamp=True, length=True):
    """Build the bytes of an endpoint's answer."""
    lines = [b'HTTP/1.1 200 OK', b'X-Verbenahall-Request-Id: ' + identity]
    if stamp:
        lines.append(b'X-Verbenahall-Server-Stamp: s')
    if length:
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])


async def list_raw(desk, raw):
    """List an endpoint of a test's own making as the only plain one."""
    await raw.start()
    raw.name = 'raw'
    raw.role = ''
    desk.site.list_endpoint(raw)
    roster = desk.gateway.core.roster
    await desk.until(lambda: 'raw' in roster.seats)


async def ask_raw(folder, *pieces):
    """Ask once an endpoint that answers so; return status and body."""
    raw = RawEndpoint(pieces)
    async with open_desk(folder) as desk:
        await list_raw(desk, raw)
        status, _, body = await desk.ask('/proof/1', 'r-1')
    await raw.stop()
    return status, body


async def check_second(folder, raw):
    """Ask twice, a moment apart, for the answers ``one`` and ``two``."""
    async with open_desk(folder) as desk:
        await list_raw(desk, raw)
        assert (await desk.ask('/proof/1', 'r-1'))[2] == b'one'
        await asyncio.sleep(0.1)
        status, _, body = await desk.ask('/proof/1', 'r-2')
        assert (status, body) == (200, b'two')
        await raw.stop()


def test_second_answer_is_not_given_to_the_next_caller(tmp_path):
    # An endpoint answers twice. The second answer lies on the kept connection
    # where the next caller's is expected, who would get somebody else's page.
    async def check():
        raw = RawEndpoint(
            (answer(b'r-1', b'one'), answer(b'r-1', b'one')),
            (answer(b'r-2', b'two'),),
        )
        await check_second(tmp_path, raw)

    run(check())


def test_late_second_answer_is_skipped(tmp_path):
    # The second answer arrives only after the next request was sent on the
    # connection, just before the answer that belongs to it.
    async def check():
        raw = RawEndpoint(
            (answer(b'r-1', b'one'),),
            (answer(b'r-1', b'one'), answer(b'r-2', b'two')),
        )
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            await desk.ask('/proof/1', 'r-1')
            status, _, body = await desk.ask('/proof/1', 'r-2')
            assert (status, body) == (200, b'two')
            assert raw.connections == 1
            await raw.stop()

    run(check())


@pytest.mark.parametrize(
    'pieces',
    [
        (answer(b'r-1', b'one') + b'<p>stray</p>',),
        (answer(b'r-1', b'one'), b'<p>stray</p>'),
        (answer(b'r-1', b'one'), b'HTTP/1.1 200 OK\r\n'),
    ],
)
def test_bytes_after_an_answer_belong_to_no_call(tmp_path, pieces):
    # A faulty endpoint sends more bytes than its answer has, at once or a
    # little later. Read as the next answer's start, they would spoil it or
    # be printed in it.
    async def check():
        raw = RawEndpoint(pieces, (answer(b'r-2', b'two'),))
        await check_second(tmp_path, raw)

    run(check())


def test_answer_cut_short_is_no_answer(tmp_path):
    # The endpoint dies in the middle of its answer. Half a page under a good
    # status would be printed as it is.
    whole = answer(b'r-1', b'a whole page')
    status, body = run(ask_raw(tmp_path, whole[:-5], b''))
    assert status in {502, 504}
    assert b'a whole' not in body


def test_answer_without_length_ends_with_its_connection(tmp_path):
    pieces = (answer(b'r-1', b'a page', length=False), b'')
    assert run(ask_raw(tmp_path, *pieces)) == (200, b'a page')


def test_answer_without_length_that_is_reset_is_not_whole(tmp_path):
    # An answer without a length ends with its connection, and the connection
    # is reset half way. Taken for its end, half a page is passed on as whole.
    pieces = (answer(b'r-1', b'half a', length=False), None)
    status, _ = run(ask_raw(tmp_path, *pieces))
    assert status in {502, 504}


def test_bytes_that_are_no_answer_fail_the_call(tmp_path):
    status, _ = run(ask_raw(tmp_path, b'\x00\x01 not an answer\r\n\r\n'))
    assert status in {502, 504}


def test_kept_connection_closed_under_a_call_does_not_send_it_again(tmp_path):
    # An endpoint closes a kept connection as a GET that may run only once
    # arrives on it. The HTTP library repeats such a call by itself, and the
    # endpoint has perhaps run it already.
    async def check():
        raw = RawEndpoint((answer(b'r-1', b'one'),), (None,))
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            await desk.ask('/proof/1', 'r-1', method='GET')
            status, _, _ = await desk.ask('/proof/1', 'r-2', method='GET')
            assert status in {502, 504}
            assert len(raw.requests) == 2
            await raw.stop()

    run(check())
