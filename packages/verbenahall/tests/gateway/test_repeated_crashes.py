"""A request that crashes engines and is sent again, to any instance."""

import asyncio
import contextlib
import functools

import aiohttp

from verbenahall.gateway import _crashes as crashes
from verbenahall.gateway._probes import ConnectOutcome
from verbenahall.peers import list_live_peers

from .conftest import make_engines, run, run_gateway

NAMES = ('front-1', 'front-2', 'front-3')
CRASHING = 'crashing prompt'
#: Most sends by all instances together after the third crash.
MAX_SENDS = 3


@contextlib.asynccontextmanager
async def run_gateways(folder, engines=(), plain=()):
    """Run three instances on one site that receive each other's heartbeats."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            run_gateway(folder, engines, plain),
        )
        harnesses = [first]
        for name in NAMES[1:]:
            harness = run_gateway(folder, name=name, site=first.site)
            harnesses.append(await stack.enter_async_context(harness))
        for harness in harnesses:
            await harness.wait_until(functools.partial(has_live_peers, harness))
        yield harnesses


async def send_from(address, harness, identity):
    """Send the crashing request from a given source address."""
    connector = aiohttp.TCPConnector(local_addr=(address, 0))
    async with aiohttp.ClientSession(connector=connector) as session:
        own = harness.session
        harness.session = session
        await send_crashing(harness, identity)
        harness.session = own


def has_live_peers(harness):
    """Whether an instance receives heartbeats of its two peers."""
    core = harness.gateway.core
    return len(list_live_peers(core.peer_table, core.now(), 1)) == 2


def make_crashing(decode_count=4):
    """Return engines that crash on one request and restart soon after."""
    engines = make_engines(decode_count=decode_count)
    for engine in engines:
        engine.faults.crash_on = CRASHING
    return engines


def count_crashing(engines):
    """Return how many sends of the crashing request have reached engines."""
    headers = [found for engine in engines for found in engine.runs]
    return sum(found['body'] == CRASHING for found in headers)


async def send_crashing(harness, identity):
    """Send the request once; return status and headers.

    The status is 0 if the connection broke.
    """
    try:
        status, headers, _ = await harness.send(
            '/summary/1', identity, data=CRASHING
        )
    except aiohttp.ClientError:
        return 0, {}
    return status, headers


async def crash_until(harnesses, engines, crashes):
    """Send to the instances in turn until ``crashes`` engines have crashed."""
    sent = 0
    while sum(one.crashes for one in engines) < crashes:
        await send_crashing(harnesses[sent % len(harnesses)], f'r-{sent}')
        sent += 1
        assert sent < 20, 'the engines do not crash'
        await asyncio.sleep(0.3)


def test_request_that_crashed_three_engines_is_not_sent_again(tmp_path):
    """Repeated under other ids and at other instances, it stays refused."""

    async def check():
        engines = make_crashing()
        async with run_gateways(tmp_path, engines) as harnesses:
            await crash_until(harnesses, engines, 3)
            before = count_crashing(engines)
            for number in range(15):
                harness = harnesses[number % len(harnesses)]
                await send_crashing(harness, f'again-{number}')
                await asyncio.sleep(0.3)
            assert count_crashing(engines) - before <= MAX_SENDS

    run(check())


def test_crashing_request_is_recognised_from_other_addresses(tmp_path):
    """A caller's source address differs between data centres."""

    async def check():
        engines = make_crashing()
        async with run_gateways(tmp_path, engines) as harnesses:
            await crash_until(harnesses, engines, 3)
            before = count_crashing(engines)
            for number in range(12):
                address = f'127.0.0.{2 + number % 4}'
                harness = harnesses[number % len(harnesses)]
                await send_from(address, harness, f'again-{number}')
                await asyncio.sleep(0.3)
            assert count_crashing(engines) - before <= MAX_SENDS

    run(check())


def test_request_is_not_quarantined_for_engines_that_answer(
    tmp_path, monkeypatch
):
    """An instance that is cut off takes refused connections for crashes.

    The other instances get answers from the same engines, so the requests that
    it had open there must not stay refused.
    """

    async def refuse(core, address):
        return ConnectOutcome.REFUSES

    async def check():
        engines = make_engines(decode_count=3)
        async with run_gateways(tmp_path, engines) as harnesses:
            cut_off, other = harnesses[0].gateway, harnesses[1]
            await send_innocent(harnesses[0], 'r-0')
            fingerprint = other.log_lines('accepted')[0]['fingerprint']
            monkeypatch.setattr(crashes, 'try_connect', refuse)
            for engine in engines[2:]:
                listing = cut_off.core.roster.listings[engine.name]
                cut_off.crash_detector.record_lost_connection(
                    fingerprint, listing.entry
                )
            await other.wait_until(lambda: other.log_lines('quarantined'))
            for number in range(12):
                await other.send('/summary/1', f'other-{number}', data='other')
            await asyncio.sleep(0.2)
            for harness in harnesses:
                assert (await send_innocent(harness, 'r-1'))[0] == 200

    run(check())


async def send_innocent(harness, identity):
    """Send a request that crashes nothing."""
    return await harness.send('/summary/1', identity, data='innocent')
