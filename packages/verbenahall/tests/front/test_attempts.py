"""Attempts, compared with the endpoints' records of what they started."""

import asyncio
import collections
import json
import random

import pytest

from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import EndpointKind, EndpointStatus

FAULTS = (
    *('', '', '', ''),
    *('refuse', 'refuse', 'refuse', 'refuse'),
    *('reset_before', 'reset_after', 'error', 'hang'),
)


def pick_fault(seed):
    rng = random.Random(seed)
    faults = [rng.choice(FAULTS) for _ in range(4000)]
    return faults.__getitem__


def test_not_run_is_true_over_two_thousand_writes(run_front, fake):
    """Endpoints refuse requests, reset connections before and after starting,
    return errors, and hang until the deadline. If a caller is told that its
    request did not run, no endpoint may have started it; no write starts twice.
    """

    async def write(harness, number):
        async with harness.client.post(
            f'{harness.url}/services/pages/write/{number}',
            data=b'x',
            headers={
                'Idempotency-Key': f'k{number}',
                'X-Deadline-Ms': '700',
            },
        ) as answer:
            body = await answer.json()
            if answer.status == 200:
                return 'yes'
            return body['error']['ran']

    async def run():
        fakes = [fake(name, pick_fault(name)) for name in 'abcd']
        async with run_front(fakes, EndpointKind.SERVICE) as harness:
            semaphore = asyncio.Semaphore(64)

            async def write_one(number):
                async with semaphore:
                    return await write(harness, number)

            outcomes = await asyncio.gather(*map(write_one, range(2000)))
        starts = collections.Counter(
            key for endpoint in fakes for key in endpoint.keys
        )
        return outcomes, starts

    outcomes, starts = asyncio.run(run())
    wrong = [
        number
        for number, ran in enumerate(outcomes)
        if ran == 'no' and starts[f'k{number}']
    ]
    assert not wrong
    assert max(starts.values()) == 1
    assert collections.Counter(outcomes)['no'] > 50
    assert collections.Counter(outcomes)['yes'] > 500


@pytest.mark.parametrize('fault', ('error', 'reset_after', 'stray', 'hang'))
def test_plain_request_goes_to_another_engine(run_front, fake, fault):
    """One engine fails every request after starting it, answers for another
    attempt, or hangs until it counts as unresponsive. Requests without a key
    may run twice, so callers get their own answers from the other engine.
    """

    async def run():
        bad = fake('bad', lambda number: fault)
        async with run_front([bad, fake('good')]) as harness:
            calls = [harness.post(prompt=f'p{number}') for number in range(10)]
            tasks = [asyncio.create_task(call) for call in calls]
            while not bad.started:
                await asyncio.sleep(0.01)
            if fault == 'hang':
                bad.status = EndpointStatus.SILENT
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
def test_key_is_free_again_only_if_nothing_ran(
    run_front, fake, fault, released
):
    """A keyed call that every engine refused never ran, so its key is released
    for the caller's retry. The key of a call that may have run stays claimed.
    """

    async def run():
        engine = fake('a', lambda number: fault)
        async with run_front([engine]) as harness:
            status, _, body = await harness.post(
                headers={'Idempotency-Key': 'k'}
            )
            assert status in {429, 504}, body
            # An attempt that never started, or has ended, needs no cancel.
            await asyncio.sleep(0.1)
            assert not engine.cancelled
            return harness.recorder.released

    assert asyncio.run(run()) == released


def test_request_that_fails_everywhere_kills_no_engine(run_front, fake):
    """Every engine answers one request with an error. If that counted as a
    failure of the engine, a single request could mark all engines as down.
    """

    async def run():
        fakes = [fake(name, lambda number: 'error') for name in 'ab']
        async with run_front(fakes) as harness:
            assert (await harness.post())[0] == 502
            return harness.recorder.failures

    assert not asyncio.run(run())


def test_unready_instance_answers_not_ready(run_front, fake):
    """The balancer sends a request to an instance that has just started. A
    model that it has not seen yet must not be reported as nonexistent.
    """

    async def run():
        async with run_front([fake('a')]) as harness:
            harness.recorder.unready = Problem(ErrorKind.NOT_READY, 'starting')
            return await harness.post(model='other')

    status, headers, body = asyncio.run(run())
    assert status == 503
    assert headers['Retry-After']
    assert json.loads(body)['error']['kind'] == 'not_ready'


def test_drained_engine_gets_no_new_work(run_front, fake):
    """An operator drains an engine that the list still shows as live. It must
    get no new requests from then on, or it could never be removed.
    """

    async def run():
        drained = fake('a')
        async with run_front([drained, fake('b')]) as harness:
            harness.dependencies.read_settings().drains['a'] = 'replaced'
            await asyncio.sleep(0.1)
            for _ in range(20):
                assert (await harness.post())[0] == 200
        assert not drained.seen

    asyncio.run(run())


def test_requests_spill_over_when_local_engines_fail(run_front, fake):
    """All engines of the local data centre fail. Requests are served by
    another data centre until the local engines are back.
    """

    async def run():
        near, far = fake('near'), fake('far')
        far.data_centre = 'there'
        async with run_front([near, far]) as harness:
            seen = []
            for status in (
                EndpointStatus.LIVE,
                EndpointStatus.SILENT,
                EndpointStatus.LIVE,
            ):
                near.status = status
                await asyncio.sleep(0.1)
                _, _, body = await harness.post()
                seen.append(json.loads(body)['by'])
        return seen

    assert asyncio.run(run()) == ['near', 'far', 'near']


@pytest.mark.parametrize('fault', ('error', 'reset_after', 'hang'))
def test_billed_request_runs_once_and_says_unknown(run_front, fake, fault):
    """An engine starts a billed request and fails. It is unknown whether the
    request ran, so it is not retried and the caller gets ran "unknown".
    """

    async def run():
        fakes = [fake(name, lambda number: fault) for name in 'ab']
        async with run_front(fakes) as harness:
            headers = {'Idempotency-Key': 'k', 'X-Deadline-Ms': '500'}
            status, _, body = await harness.post(headers=headers)
            starts = [start for engine in fakes for start in engine.started]
            return (
                status,
                json.loads(body)['error'],
                starts,
                harness.recorder.claims,
            )

    status, error, starts, claims = asyncio.run(run())
    assert status == 504
    assert error['ran'] == 'unknown'
    assert len(starts) == 1
    assert claims == [('default', 'k')]
