"""Hedged hops whose peers fail, refuse or thaw."""

import asyncio

from verbenahall_standins.soak import Cut

from .conftest import run
from .cut_fleet import run_fleet
from .test_forwarding import (
    PLAIN_HEAD,
    REFUSAL,
    STREAM_HEAD,
    make_event,
)

FAILURE = b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n'


def freeze(harness, name):
    """Let a peer count as frozen from now on."""
    table = harness.gateway.core.peer_table
    table.peers[name].last_heartbeat_at = harness.gateway.core.now() - 1.6


def test_failure_of_another_peer_ends_no_silent_hop(tmp_path):
    # A peer pauses and goes on; meanwhile another peer has answered 502, which
    # the caller got although the first one had the answer.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            answer = (1.0, PLAIN_HEAD, b'x' * 100)
            async with fleet.run_peer(answer, is_frozen=True) as peer:
                sending = asyncio.create_task(
                    cut.send('/archive/1', 'again', method='GET')
                )
                await cut.wait_until(lambda: peer.requests)
                async with fleet.run_peer((FAILURE,), name='raw-2'):
                    freeze(cut, 'raw')
                    status, _, _ = await sending
            assert status == 200

    run(check())


def test_refusal_of_the_silent_peer_makes_no_further_hop(tmp_path):
    # Two hops were open, and the older one went on to a third peer.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            async with fleet.run_peer((0.6, REFUSAL), is_frozen=True) as peer:
                sending = asyncio.create_task(
                    cut.send('/archive/1', 'again', method='GET')
                )
                await cut.wait_until(lambda: peer.requests)
                slow = (1.0, PLAIN_HEAD, b'x' * 100)
                async with fleet.run_peer(slow, name='raw-2') as second:
                    freeze(cut, 'raw')
                    await cut.wait_until(lambda: second.requests)
                    status, _, _ = await sending
            assert status == 200
            hops = [
                one['peer']
                for one in cut.log_lines('forwarded')
                if one['request'] == 'again'
            ]
            assert hops == ['raw', 'raw-2']

    run(check())


def test_hedged_hop_counts_usage_once(tmp_path):
    # Both peers counted the usage of a stream whose events had begun.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            answer = (STREAM_HEAD, make_event(1), make_event(2), 30.0)
            async with fleet.run_peer(answer, is_frozen=True) as peer:
                sending = asyncio.create_task(cut.send('/summary/1', 'again'))
                await cut.wait_until(lambda: peer.requests)
                await asyncio.sleep(0.1)
                refusal = (REFUSAL,)
                async with fleet.run_peer(refusal, name='raw-2') as second:
                    freeze(cut, 'raw')
                    await cut.wait_until(lambda: second.requests)
                    await sending
                    lines = second.requests[0].decode().lower()
            assert '"metered":true' in lines.replace(' ', '')

    run(check())
