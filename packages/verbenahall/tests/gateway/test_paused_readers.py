"""Sound endpoints that read a request's body late."""

import asyncio
import socket

from aiohttp import web

from verbenahall_standins.platform import PlainStandIn

from .conftest import run, run_gateway

#: How long an endpoint reads nothing, in seconds: shorter than the two seconds
#: after which callers leave.
PAUSED_S = 1.9
#: Least receive buffer of an endpoint, in bytes.
BUFFER = 4096
#: Longer than what an endpoint's server and its kernel read ahead.
BODY = b'x' * 900_000


class LateReader(PlainStandIn):
    """An endpoint that is paused before it reads the body of a request."""

    async def start(self):
        """Listen with a small receive buffer."""
        await super().start()
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        await web.SockSite(self._runner, listener).start()
        host, port = listener.getsockname()
        self.address = f'{host}:{port}'

    async def _serve(self, request):
        await asyncio.sleep(PAUSED_S)
        return await super()._serve(request)


def test_call_to_an_endpoint_that_reads_late_is_answered(tmp_path):
    # A sound endpoint was paused and its buffers were full: the kernel closed
    # the connection after TCP_USER_TIMEOUT, and the call was answered 504.
    async def check():
        plain = [LateReader('page-0')]
        async with run_gateway(tmp_path, plain=plain) as harness:
            status, _, _ = await harness.send('/proof/1', data=BODY)
            await harness.wait_until(lambda: harness.log_lines('answered'))
            assert (status, harness.log_lines('answered')[0]['end']) == (
                200,
                'whole',
            )

    run(check())


def test_endpoint_that_is_not_waited_for_has_not_broken_its_answer_off(
    tmp_path,
):
    # A connection that the kernel of the instance had closed was logged as
    # broken off by the endpoint.
    async def check():
        plain = [LateReader('page-0')]
        async with run_gateway(tmp_path, plain=plain) as harness:
            await harness.send('/proof/1', data=BODY)
            await harness.wait_until(lambda: harness.log_lines('answered'))
            assert harness.log_lines('answered')[0]['end'] != 'broken_off'

    run(check())
