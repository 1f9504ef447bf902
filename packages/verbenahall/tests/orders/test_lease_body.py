"""The lease is checked and the order written in one event loop step."""

import asyncio
import select
import socket

import pytest
import uvloop
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict

from verbenahall.fleet import Endpoint, EndpointKind, Role, Target
from verbenahall.orders import (
    Dispatch,
    Order,
    OrderSender,
    OrderTiming,
    Outcome,
    record_sending,
    send_and_record,
)
from verbenahall.orders._lease_body import LeaseBody

TIMING = OrderTiming(order_timeout_s=5, longest_pause_s=1)
ORDER = Order(2, 0, 'e1', 'i1', Target(Role.MIXED), 'ain', 1)


def listen():
    """Listen on a free port."""
    return socket.create_server(('127.0.0.1', 0))


async def write_without_yielding(accepting):
    """Write an order and read at the peer before the loop continues."""
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_connection(
        lambda: ResponseHandler(loop),
        *accepting.getsockname(),
    )
    peer, _ = accepting.accept()
    writer = StreamWriter(protocol, loop)
    await writer.write_headers('POST /orders HTTP/1.1', CIMultiDict())
    await LeaseBody(b'{"order": "2.0"}', lambda: True).write(writer)
    arrived, _, _ = select.select([peer], [], [], 5)
    got = peer.recv(4096) if arrived else b''
    transport.abort()
    peer.close()
    return got


def test_order_is_with_the_kernel_when_the_check_s_step_ends():
    """The process is stopped right after the step that checked its lease.

    If the write were buffered until the end of the loop's iteration, the
    order would be sent when the process continues, long after its lease.
    """
    with listen() as accepting:
        got = uvloop.run(write_without_yielding(accepting))

    assert got.startswith(b'POST /orders')
    assert got.endswith(b'{"order": "2.0"}')


async def send_once(accepting, tokens):
    """Send an order; return the outcome and what reached the peer."""
    host, port = accepting.getsockname()
    endpoint = Endpoint(
        'e1',
        EndpointKind.ENGINE,
        f'{host}:{port}',
        'ain',
        'i1',
    )
    sender = OrderSender(lambda _: next(tokens), TIMING)
    sending = asyncio.create_task(sender.send(ORDER, endpoint))
    loop = asyncio.get_running_loop()
    peer, _ = await loop.run_in_executor(None, accepting.accept)
    with peer:
        peer.settimeout(10)
        got = await loop.run_in_executor(None, peer.recv, 4096)
    outcome = await sending
    await sender.close()
    return outcome, got


@pytest.mark.parametrize('second', [None, 9])
def test_nothing_leaves_once_the_lease_is_lost(second):
    """The lease ends, or gets a new token, while the sender connects.

    The engine must not receive a byte of the order.
    """
    with listen() as accepting:
        outcome, got = asyncio.run(send_once(accepting, iter((1, second))))

    assert outcome is Outcome.NOT_SENT
    assert not got


def test_unanswered_order_is_unknown():
    """The engine receives the order and closes without a response."""
    with listen() as accepting:
        outcome, got = asyncio.run(send_once(accepting, iter((1, 1))))

    assert outcome is Outcome.UNKNOWN
    assert b'"fencing":1' in got


def test_send_that_breaks_is_over():
    """An unexpected exception ends a send.

    The send must not count as in progress any more, or the engine would get
    no further order.
    """
    endpoint = Endpoint('e1', EndpointKind.ENGINE, '127.0.0.1:1', 'ain', 'i1')
    dispatch = Dispatch(TIMING)
    record_sending(dispatch, ORDER)
    sender = OrderSender(lambda _: 1, TIMING)
    sender.send = None
    sending = send_and_record(sender, dispatch, ORDER, endpoint, lambda: 7)

    with pytest.raises(TypeError):
        asyncio.run(sending)
    assert not dispatch.find_sends('e1').sending
