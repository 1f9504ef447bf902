"""An instance that loses its links to all endpoints, and its callers."""

import asyncio

import pytest

from verbenahall import wire

pytestmark = pytest.mark.process

#: Time in which an instance may notice the loss, in seconds.
STABLE_S = 3
#: Requests of nine that must be served: two thirds of those of the others.
LEAST_SERVED = 6
ENDPOINTS = ('engine-1', 'engine-2', 'pages-1')


async def start_linked_instance(fleet):
    """Start ``i-3``, which reaches the endpoints by links; return these."""
    fleet.start('linked', 'registry')
    listed = await fleet.call('GET', 'registry', '/list')
    entries = wire.decode(listed.body.encode()).unwrap()['entries']
    opened = await asyncio.gather(*map(fleet.open_link, ENDPOINTS))
    addresses = {
        name: address
        for name, (_, address) in zip(ENDPOINTS, opened, strict=True)
    }
    for entry in entries:
        entry['address'] = addresses.get(entry['name'], entry['address'])
    await asyncio.gather(
        *(
            fleet.call('POST', 'linked', '/register', json=listed_entry)
            for listed_entry in entries
        )
    )
    await fleet.start_instance('i-3', registry='linked')
    await fleet.wait_until_ready('i-3')
    return [link for link, _ in opened]


def test_callers_of_an_instance_without_endpoints_are_served(run):
    # The other instances, the log and the callers reach the instance, and the
    # endpoints do not. Its callers must be served all the same.
    async def scenario(fleet):
        links = await start_linked_instance(fleet)
        assert (await fleet.complete('i-3')).status == 200
        for link in links:
            link.cut()
        await asyncio.sleep(STABLE_S)
        calls = [fleet.complete(name) for name in ('i-1', 'i-3') * 9]
        answers = await asyncio.gather(*calls)
        served = [one.status == 200 for one in answers]
        assert all(served[::2])
        assert sum(served[1::2]) >= LEAST_SERVED

    run(scenario)
