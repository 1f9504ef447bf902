"""A request that crashes engines, sent again to any instance."""

import asyncio
import contextlib
import functools

import aiohttp

from verbenahall.peers import find_heard

from .conftest import make_engines, open_desk, run

NAMES = ('front-1', 'front-2', 'front-3')
CRASHING = 'crashing prompt'
#: Sends that all instances together may make after the third crash.
MOST_SENDS = 3


@contextlib.asynccontextmanager
async def open_desks(folder, engines=(), plain=()):
    """Run three instances that hear each other, on one site."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            open_desk(folder, engines, plain),
        )
        desks = [first]
        for name in NAMES[1:]:
            desk = open_desk(folder, name=name, site=first.site)
            desks.append(await stack.enter_async_context(desk))
        for desk in desks:
            await desk.until(functools.partial(hears_both, desk))
        yield desks


async def ask_from(address, desk, identity):
    """Send the crashing request from an address of the caller's."""
    connector = aiohttp.TCPConnector(local_addr=(address, 0))
    async with aiohttp.ClientSession(connector=connector) as session:
        own = desk.session
        desk.session = session
        await ask_crashing(desk, identity)
        desk.session = own


def hears_both(desk):
    """Whether an instance hears its two peers."""
    core = desk.gateway.core
    return len(find_heard(core.book, core.now(), 1)) == 2


def make_crashing(generators=4):
    """Return engines that crash on one request, and are soon back."""
    engines = make_engines(generators=generators)
    for engine in engines:
        engine.faults.crash_on = CRASHING
    return engines


def count_crashing(engines):
    """Return how many sends of the request have reached engines."""
    headers = [found for engine in engines for found in engine.runs]
    return sum(found['body'] == CRASHING for found in headers)


async def ask_crashing(desk, identity):
    """Send the request once; return the status, 0 for a broken answer."""
    try:
        status, headers, _ = await desk.ask(
            '/summary/1', identity, data=CRASHING
        )
    except aiohttp.ClientError:
        return 0, {}
    return status, headers


async def crash_until(desks, engines, crashes):
    """Send until so many engines have crashed, each time elsewhere."""
    sent = 0
    while sum(one.crashes for one in engines) < crashes:
        await ask_crashing(desks[sent % len(desks)], f'r-{sent}')
        sent += 1
        assert sent < 20, 'the engines do not crash'
        await asyncio.sleep(0.3)


def test_request_that_crashed_three_engines_is_sent_no_more(tmp_path):
    """Under another id, at another instance, it starts anew everywhere."""

    async def check():
        engines = make_crashing()
        async with open_desks(tmp_path, engines) as desks:
            await crash_until(desks, engines, 3)
            before = count_crashing(engines)
            for number in range(15):
                desk = desks[number % len(desks)]
                await ask_crashing(desk, f'again-{number}')
                await asyncio.sleep(0.3)
            assert count_crashing(engines) - before <= MOST_SENDS

    run(check())


def test_crashing_request_from_other_addresses_is_the_same_one(tmp_path):
    """A caller's connections come from different addresses by data centre."""

    async def check():
        engines = make_crashing()
        async with open_desks(tmp_path, engines) as desks:
            await crash_until(desks, engines, 3)
            before = count_crashing(engines)
            for number in range(12):
                address = f'127.0.0.{2 + number % 4}'
                desk = desks[number % len(desks)]
                await ask_from(address, desk, f'again-{number}')
                await asyncio.sleep(0.3)
            assert count_crashing(engines) - before <= MOST_SENDS

    run(check())
