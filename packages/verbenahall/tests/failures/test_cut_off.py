"""Instances that lose the platform, and endpoints that leave."""

import asyncio

import pytest

pytestmark = pytest.mark.process

#: Time after which a leaving endpoint must get no request, in seconds.
LEAVING_S = 3


async def keep_calling(fleet, statuses):
    while True:
        name = ('i-1', 'i-2')[len(statuses) % 2]
        answer = await fleet.complete(name)
        statuses.append(answer.status)


def test_instances_serve_without_log_and_instance_list(run):
    """One instance loses the log, and the instance list is down for all.

    Both instances must keep serving; the one without the log must refuse
    keyed calls. Once the link is back it must reject a key that the other
    instance has run.
    """

    async def scenario(fleet):
        link, address = await fleet.open_link('log')
        await fleet.start_instance('i-3', log=address)
        await fleet.wait_until_ready('i-3')
        link.cut()
        await fleet.set_fault('registry', name='down')
        await asyncio.sleep(1)
        served = await asyncio.gather(
            *(fleet.complete(name) for name in ('i-1', 'i-3') * 20),
        )
        assert {answer.status for answer in served} == {200}
        refused = await fleet.bill('i-3', 'k')
        assert refused.error['ran'] == 'no'
        assert (await fleet.bill('i-1', 'k')).status == 200

        link.is_open = True
        await fleet.set_fault('registry', name='clear')
        async with asyncio.timeout(20):
            while (await fleet.bill('i-3', 'k')).status != 409:
                await asyncio.sleep(0.1)
        assert await fleet.count_runs() == {'k': 1}

    run(scenario)


async def check_no_new_work(fleet, name):
    await asyncio.sleep(LEAVING_S)
    before = len(await fleet.read_started(name))
    await asyncio.sleep(1)
    assert len(await fleet.read_started(name)) == before


async def wait_for_new_work(fleet, name):
    before = len(await fleet.read_started(name))
    async with asyncio.timeout(20):
        while len(await fleet.read_started(name)) == before:
            await asyncio.sleep(0.1)


def test_leaving_engine_gets_no_new_work(run):
    """An engine announces leaving, is removed from the list, then hangs.

    Each time it must get no new request after three seconds, and no request
    may fail.
    """

    async def scenario(fleet):
        statuses = []
        calling = asyncio.create_task(keep_calling(fleet, statuses))
        await asyncio.sleep(0.5)
        await fleet.set_fault('engine-2', name='leaving')
        await check_no_new_work(fleet, 'engine-2')
        await fleet.set_fault('engine-2', name='clear')
        await wait_for_new_work(fleet, 'engine-2')

        leave = {'name': 'engine-2'}
        await fleet.call('POST', 'registry', '/leave', json=leave)
        await check_no_new_work(fleet, 'engine-2')

        await fleet.register('engine-2', 'engine')
        await wait_for_new_work(fleet, 'engine-2')
        fleet.processes['engine-2'].pause()
        await asyncio.sleep(LEAVING_S)
        count = len(statuses)
        await asyncio.sleep(1)
        assert len(statuses) > count + 10
        calling.cancel()
        assert set(statuses) == {200}

    run(scenario)
