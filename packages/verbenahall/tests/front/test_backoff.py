"""An endpoint refuses a request and states for how long it wants none."""

import asyncio

import pytest

from verbenahall.fleet import EndpointKind

PATHS = (
    (EndpointKind.SERVICE, '/services/pages/read'),
    (EndpointKind.ENGINE, '/v1/completions'),
)


def refuse(number):
    return 'back_off'


@pytest.mark.parametrize(('kind', 'path'), PATHS)
def test_endpoint_gets_no_requests_in_a_requested_backoff(
    run_front, fake, kind, path
):
    """Each refusal was forgotten at once, and the next request sent there."""

    async def run():
        fakes = [fake('a', refuse), fake('b')]
        async with run_front(fakes, kind) as harness:
            for _ in range(40):
                status, _, _ = await harness.post(path, prompt='x')
                assert status == 200
                await asyncio.sleep(0.01)
        return fakes[0].seen

    assert asyncio.run(run()) <= 3


@pytest.mark.parametrize(('kind', 'path'), PATHS)
def test_request_is_refused_at_once_if_all_endpoints_back_off(
    run_front, fake, kind, path
):
    async def run():
        fakes = [fake('a', refuse)]
        async with run_front(fakes, kind) as harness:
            await harness.post(path, prompt='x')
            await asyncio.sleep(0.2)
            before = fakes[0].seen
            status, headers, _ = await harness.post(path, prompt='x')
            assert status == 429
            assert 0 < int(headers['Retry-After']) <= 3
            assert fakes[0].seen == before

    asyncio.run(run())
