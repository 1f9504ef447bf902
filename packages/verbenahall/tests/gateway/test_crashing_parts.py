"""A part of prompts that crashes the engines that write answers on it."""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest

from .conftest import PREFIX, make_engines, run
from .test_repeated_crashes import run_gateways

DEADLY = 'dead'
#: Crashes that the users allow, and sends by all instances together after
#: these, from the time that instances may take to know of them, in seconds.
CRASHES = 5
MAX_SENDS = 3
STABLE_S = 1.5
#: Places of the deadly part among the shared parts of a prompt.
PREFIXES = (
    f'aa:300,{DEADLY}:200,bb:200',
    f'{DEADLY}:300,aa:200,bb:200',
    f'aa:300,bb:200,{DEADLY}:200',
)
SOUND = 'aa:300,bb:200,cc:200'

numbers = itertools.count()


async def send(harness, prefix):
    """Send a request that no other equals; return its status, 0 if broken."""
    number = next(numbers)
    try:
        status, _, _ = await harness.send(
            '/summary/1',
            f'part-{number}',
            data=f'prompt {number}',
            headers={f'{PREFIX}Prompt-Prefix': f'{prefix},own{number}:300'},
        )
    except aiohttp.ClientError:
        return 0
    return status


def make_crashing(decode_count=5):
    """Return engines that crash on the deadly part and restart soon after."""
    engines = make_engines(decode_count=decode_count)
    for engine in engines:
        engine.faults.crash_on_part = DEADLY
    return engines


def count_crashes(engines):
    return sum(one.crashes for one in engines)


def count_deadly(engines):
    """Return how many sends of requests with the deadly part were run."""
    runs = [found for engine in engines for found in engine.runs]
    return sum(DEADLY in found[f'{PREFIX}Prompt-Prefix'] for found in runs)


@contextlib.asynccontextmanager
async def send_sound(harnesses, statuses):
    """Send sound requests beside, with the other parts of the deadly ones."""

    async def send_all():
        for harness in itertools.cycle(harnesses):
            statuses.append(await send(harness, SOUND))
            await asyncio.sleep(0.02)

    sending = asyncio.create_task(send_all())
    try:
        yield
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


async def crash_until(harnesses, engines, prefix, crashes):
    """Send deadly requests in turn until some engines have crashed."""
    for harness in itertools.cycle(harnesses):
        if count_crashes(engines) >= crashes:
            return
        await send(harness, prefix)
        await asyncio.sleep(0.1)


@pytest.mark.parametrize('prefix', PREFIXES)
def test_part_that_crashed_five_engines_is_not_sent_again(tmp_path, prefix):
    # No two requests are equal, and each instance receives some of them.
    async def check():
        engines = make_crashing()
        async with run_gateways(tmp_path, engines) as harnesses:
            async with asyncio.timeout(20):
                await crash_until(harnesses, engines, prefix, CRASHES)
            await asyncio.sleep(STABLE_S)
            before = count_deadly(engines)
            refused = [
                await send(harnesses[number % 3], prefix)
                for number in range(12)
            ]
            assert count_deadly(engines) - before <= MAX_SENDS
            assert set(refused[MAX_SENDS:]) == {429}

    run(check())


def test_sound_requests_beside_a_deadly_part_are_served(tmp_path):
    # They share the first part with the deadly ones, and engines that crash.
    async def check():
        engines = make_crashing()
        statuses = []
        async with run_gateways(tmp_path, engines) as harnesses:
            async with asyncio.timeout(30), send_sound(harnesses, statuses):
                await crash_until(harnesses, engines, PREFIXES[0], CRASHES)
                await asyncio.sleep(STABLE_S)
                statuses.clear()
                for number in range(20):
                    await send(harnesses[number % 3], PREFIXES[0])
                    await asyncio.sleep(0.05)
            served = statuses.count(200)
            assert len(statuses) >= 20
            assert served >= len(statuses) * 0.9

    run(check())


def test_started_instance_knows_the_deadly_part(tmp_path):
    # An instance that is started again must not try the part for itself.
    async def check():
        engines = make_crashing()
        async with run_gateways(tmp_path, engines) as harnesses:
            async with asyncio.timeout(20):
                await crash_until(harnesses, engines, PREFIXES[0], CRASHES)
            await asyncio.sleep(STABLE_S)
            before = count_deadly(engines)
            restarted = harnesses[2].gateway.core.crash_log
            restarted.suspects.clear()
            await asyncio.sleep(STABLE_S)
            for _ in range(12):
                await send(harnesses[2], PREFIXES[0])
                await asyncio.sleep(0.1)
            assert count_deadly(engines) - before <= MAX_SENDS

    run(check())
