"""What connections hold is counted until they have released it."""

import asyncio

import pytest
from verbenahall_standins.crowds import (
    FORMS,
    Crowd,
    DiscardingEndpoint,
    Form,
    Target,
)
from verbenahall_standins.platform import HOST, Site, write_settings

from verbenahall.gateway import Gateway
from verbenahall.platform import read_settings

CLIENTS = 12
TARGET = Target(HOST, '/archive/1', '/archive/large', '/archive/2')
#: Memory that the settings grant, in MB: little, so that connections yield.
MEMORY_MB = 55


@pytest.mark.parametrize('name', FORMS)
def test_account_is_empty_after_a_crowd(tmp_path, name):
    # Bytes that stay counted would keep ordinary callers out for good.
    async def check():
        site = Site(plain=[DiscardingEndpoint('page-0')])
        await site.start()
        path = write_settings(tmp_path, site.store.address)
        limit = f'memoryMb = {MEMORY_MB}'
        path.write_text(path.read_text().replace('memoryMb = 300', limit))
        gateway = Gateway(read_settings(path).unwrap())
        await gateway.open()
        try:
            await send_crowd(gateway, name)
        finally:
            await gateway.close()
            await site.stop()

    asyncio.run(check())


async def send_crowd(gateway, name):
    """Run a crowd; check the bound beside it, and the account after it."""
    state = gateway.core.byte_budget.account.state
    async with asyncio.timeout(20):
        while not gateway.core.ready:
            await asyncio.sleep(0.01)
    form = Form(CLIENTS, FORMS[name].make_script)
    async with Crowd(form, TARGET, gateway.core.settings.callers, send_s=1):
        assert state.held - state.going <= state.bounds.total
        assert state.reserved <= state.bounds.large
    async with asyncio.timeout(20):
        while state.held or state.going or state.reserved or state.holding:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('large', [False, True])
def test_single_request_within_the_limits_is_served(tmp_path, large):
    # The limits on crowds must not keep out one request of legal size: a body
    # of 4 MB, whole or in chunks of one byte, beside nothing.
    async def check():
        site = Site(plain=[DiscardingEndpoint('page-0')])
        await site.start()
        path = write_settings(tmp_path, site.store.address)
        gateway = Gateway(read_settings(path).unwrap())
        await gateway.open()
        async with asyncio.timeout(20):
            while not gateway.core.ready:
                await asyncio.sleep(0.01)
        host, _, port = gateway.core.settings.callers.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        if large:
            head = TARGET.make_head(
                'POST', TARGET.upload, 'Content-Length: 4194304'
            )
            writer.write(head + bytes(4_194_304))
        else:
            head = TARGET.make_head(
                'POST', TARGET.upload, 'Transfer-Encoding: chunked'
            )
            writer.write(head + b'1\r\na\r\n' * 50_000 + b'0\r\n\r\n')
        assert (await reader.readline()).startswith(b'HTTP/1.1 200')
        writer.close()
        await gateway.close()
        await site.stop()

    asyncio.run(check())
