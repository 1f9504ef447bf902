"""Attempts against the endpoints' own record of what they started."""

import asyncio
import collections
import json
import random

import pytest

from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import EndpointKind, Standing

FAULTS = (
    *('', '', '', ''),
    *('refuse', 'refuse', 'refuse', 'refuse'),
    *('reset_before', 'reset_after', 'error', 'hang'),
)


def pick_fault(seed):
    source = random.Random(seed)
    faults = [source.choice(FAULTS) for _ in range(4000)]
    return faults.__getitem__


def test_not_run_is_true_over_two_thousand_writes(stage, fake):
    """Endpoints refuse, reset before and after starting, answer errors and
    hang until the deadline. A caller that reads ran "no" must find no start
    of its request in any endpoint's record, and no write starts twice.
    """

    async def write(on, number):
        async with on.client.post(
            f'{on.url}/services/pages/write/{number}',
            data=b'x',
            headers={
                'Idempotency-Key': f'k{number}',
                'X-Deadline-Ms': '700',
            },
        ) as answer:
            told = await answer.json()
            if answer.status == 200:
                return 'yes'
            return told['error']['ran']

    async def run():
        fakes = [fake(name, pick_fault(name)) for name in 'abcd']
        async with stage(fakes, EndpointKind.SERVICE) as on:
            gate = asyncio.Semaphore(64)

            async def write_one(number):
                async with gate:
                    return await write(on, number)

            told = await asyncio.gather(*map(write_one, range(2000)))
        starts = collections.Counter(
            key for endpoint in fakes for key in endpoint.keys
        )
        return told, starts

    told, starts = asyncio.run(run())
    lies = [
        number
        for number, ran in enumerate(told)
        if ran == 'no' and starts[f'k{number}']
    ]
    assert not lies
    assert max(starts.values()) == 1
    assert collections.Counter(told)['no'] > 50
    assert collections.Counter(told)['yes'] > 500


@pytest.mark.parametrize('fault', ('error', 'reset_after', 'stray', 'hang'))
def test_plain_request_goes_to_another_engine(stage, fake, fault):
    """One engine fails every request after it began, answers for another
    attempt, or hangs and is found silent. Completions without a key may run
    twice, so callers get their own answers from the other engine.
    """

    async def run():
        bad = fake('bad', lambda number: fault)
        async with stage([bad, fake('good')]) as on:
            calls = [on.post(prompt=f'p{number}') for number in range(10)]
            tasks = [asyncio.create_task(call) for call in calls]
            while not bad.started:
                await asyncio.sleep(0.01)
            if fault == 'hang':
                bad.standing = Standing.SILENT
            answers = await asyncio.gather(*tasks)
        assert bad.started
        return answers

    for number, (status, _, body) in enumerate(asyncio.run(run())):
        assert status == 200, body
        assert json.loads(body)['echo'] == f'p{number}'
        assert json.loads(body)['by'] == 'good'


@pytest.mark.parametrize(
    ('fault', 'released'),
    (('refuse', [('default', 'k', 1)]), ('error', [])),
)
def test_key_is_free_again_only_if_nothing_ran(stage, fake, fault, released):
    """A billed call is refused everywhere and its caller told that nothing
    ran, so it may come again under its key. One that may have run keeps it.
    """

    async def run():
        engine = fake('a', lambda number: fault)
        async with stage([engine]) as on:
            status, _, body = await on.post(headers={'Idempotency-Key': 'k'})
            assert status in {429, 504}, body
            # What never began, or ended by itself, needs no second request.
            await asyncio.sleep(0.1)
            assert not engine.cancelled
            return on.told.released

    assert asyncio.run(run()) == released


def test_request_that_fails_everywhere_kills_no_engine(stage, fake):
    """One request makes every engine that takes it answer an error. Counted
    as death of the engines, it would take the whole fleet away.
    """

    async def run():
        fakes = [fake(name, lambda number: 'error') for name in 'ab']
        async with stage(fakes) as on:
            assert (await on.post())[0] == 502
            return on.told.missed

    assert not asyncio.run(run())


def test_instance_that_knows_nothing_yet_says_so(stage, fake):
    """An instance has just started and the balancer is early. What it does
    not know yet must not be answered as a model that does not exist.
    """

    async def run():
        async with stage([fake('a')]) as on:
            on.told.unready = Problem(ErrorKind.NOT_READY, 'starting')
            return await on.post(model='other')

    status, headers, body = asyncio.run(run())
    assert status == 503
    assert headers['Retry-After']
    assert json.loads(body)['error']['kind'] == 'not_ready'


def test_drained_engine_gets_no_new_work(stage, fake):
    """An operator drains an engine that the list still shows as live. It
    must get nothing new within seconds, or it could never be taken away.
    """

    async def run():
        drained = fake('a')
        async with stage([drained, fake('b')]) as on:
            on.parts.settings().drains['a'] = 'replaced'
            await asyncio.sleep(0.1)
            for _ in range(20):
                assert (await on.post())[0] == 200
        assert not drained.seen

    asyncio.run(run())


def test_requests_spill_over_when_the_own_engines_are_gone(stage, fake):
    """All engines of a data centre are lost while another one has some. Its
    callers are answered from there, and from their own again afterwards.
    """

    async def run():
        near, far = fake('near'), fake('far')
        far.data_centre = 'there'
        async with stage([near, far]) as on:
            seen = []
            for standing in (Standing.LIVE, Standing.SILENT, Standing.LIVE):
                near.standing = standing
                await asyncio.sleep(0.1)
                _, _, body = await on.post()
                seen.append(json.loads(body)['by'])
        return seen

    assert asyncio.run(run()) == ['near', 'far', 'near']


@pytest.mark.parametrize('fault', ('error', 'reset_after', 'hang'))
def test_billed_request_runs_once_and_says_unknown(stage, fake, fault):
    """An engine begins a billed summary and fails. Whether it ran is not
    known, so it is not sent again and the caller is told just that.
    """

    async def run():
        fakes = [fake(name, lambda number: fault) for name in 'ab']
        async with stage(fakes) as on:
            headers = {'Idempotency-Key': 'k', 'X-Deadline-Ms': '500'}
            status, _, body = await on.post(headers=headers)
            starts = [start for found in fakes for start in found.started]
            return status, json.loads(body)['error'], starts, on.told.claims

    status, error, starts, claims = asyncio.run(run())
    assert status == 504
    assert error['ran'] == 'unknown'
    assert len(starts) == 1
    assert claims == [('default', 'k')]
