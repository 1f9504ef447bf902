"""At-most-once execution of keyed calls, counted at the service."""

import asyncio

import pytest

pytestmark = pytest.mark.process

#: Timeout of repeated calls, in seconds.
RETRY_S = 30
#: Outcomes: status, the error's kind and its ``ran`` field.
DUPLICATE = (409, 'duplicate', 'unknown')
NOT_RUN = (503, 'log_unavailable', 'no')
RAN = (200, None, None)


def get_outcome(answer):
    """Return the status, the error's kind and its ``ran`` field."""
    error = answer.error
    return answer.status, error.get('kind'), error.get('ran')


async def retry_bill(fleet, name, key, retried_outcomes=(NOT_RUN,)):
    """Repeat a call while its outcome is one of ``retried_outcomes``."""
    async with asyncio.timeout(RETRY_S):
        answer = await fleet.bill(name, key)
        while get_outcome(answer) in retried_outcomes:
            await asyncio.sleep(0.2)
            answer = await fleet.bill(name, key)
    return get_outcome(answer)


def test_same_key_at_two_instances(run_shared):
    """Calls with the same key reach two instances at the same time.

    Exactly one of them must run.
    """

    async def scenario(fleet):
        keys = [f'k{number}' for number in range(20)]
        answers = await asyncio.gather(
            *(fleet.bill(name, key) for key in keys for name in ('i-1', 'i-2')),
        )
        found = [get_outcome(answer) for answer in answers]
        assert found.count(RAN) == 20
        assert found.count(DUPLICATE) == 20
        runs = await fleet.count_runs()
        assert [runs[key] for key in keys] == [1 for _ in keys]

    run_shared(scenario)


def test_first_instance_killed_or_paused(run):
    """The first instance stops while its keyed call is in flight.

    The caller retries at another instance. The call must not run twice, and
    the answer must not say that nothing ran.
    """

    async def scenario(fleet):
        await fleet.set_fault('pages-1', name='slow', delay_s=1)
        calls = [asyncio.create_task(fleet.bill('i-1', 'paused'))]
        await asyncio.sleep(0.3)
        fleet.processes['i-1'].pause()
        repeated = await fleet.bill('i-2', 'paused')
        fleet.processes['i-1'].resume()
        assert get_outcome(repeated) == DUPLICATE
        assert get_outcome(await calls[0]) == RAN

        calls.append(asyncio.create_task(fleet.bill('i-1', 'killed')))
        await asyncio.sleep(0.3)
        fleet.processes['i-1'].kill()
        repeated = await fleet.bill('i-2', 'killed')
        assert get_outcome(repeated) == DUPLICATE
        await asyncio.gather(*calls)
        runs = await fleet.count_runs()
        assert max(runs.values()) == 1

    run(scenario)


def test_paused_before_its_claim_is_known(run_shared):
    """An instance is paused between its claim and the log's answer.

    It resumes long after another instance has answered the same key.
    """

    async def scenario(fleet):
        await fleet.set_fault('log', name='slow', path='/append', delay_s=0.5)
        first = asyncio.create_task(fleet.bill('i-1', 'early'))
        await asyncio.sleep(0.2)
        fleet.processes['i-1'].pause()
        await fleet.set_fault('log', name='clear')
        second = await retry_bill(fleet, 'i-2', 'early')
        fleet.processes['i-1'].resume()
        answers = {second, get_outcome(await first)}
        assert answers <= {RAN, DUPLICATE, NOT_RUN}
        assert (await fleet.count_runs()).get('early', 0) <= 1

    run_shared(scenario)


async def clear_log_fault(fleet, delay_s):
    """Clear the log's fault after a delay; return the runs before that."""
    await asyncio.sleep(delay_s)
    runs = await fleet.count_runs()
    await fleet.set_fault('log', name='clear')
    return runs


async def check_log_fault(fleet, key, **fault):
    await fleet.set_fault('log', **fault)
    first = get_outcome(await fleet.bill('i-1', key))
    assert first in {RAN, NOT_RUN}
    clearing = asyncio.create_task(clear_log_fault(fleet, 1))
    # An abandoned claim may still reach the log after the fault. Until it is
    # released, another instance correctly answers "duplicate, unknown".
    retried = (NOT_RUN, DUPLICATE) if first == NOT_RUN else (NOT_RUN,)
    second = await retry_bill(fleet, 'i-2', key, retried_outcomes=retried)
    assert (key in await clearing) == (first == RAN)
    assert (first, second) in {(RAN, DUPLICATE), (NOT_RUN, RAN)}
    assert (await fleet.count_runs())[key] == 1


def test_log_at_fault(run_shared):
    """The log is down, or its answers are late or lost after the append.

    The caller retries for as long as the answer is "not run". The call must
    run exactly once.
    """

    async def scenario(fleet):
        path = '/append'
        lost = {'name': 'lose_answer', 'path': path}
        late = {'name': 'late', 'path': path, 'delay_s': 1.5}
        await check_log_fault(fleet, 'a', **lost)
        await check_log_fault(fleet, 'b', **late)
        await check_log_fault(fleet, 'c', name='down')

    run_shared(scenario)


def test_refused_call_may_be_tried_again(run_shared):
    """The service refuses a keyed call until its attempts are exhausted.

    The answer is "not run", and a retry at another instance must run.
    """

    async def scenario(fleet):
        await fleet.set_fault('pages-1', name='refuse')
        first = await fleet.bill('i-1', 'refused')
        assert first.error['ran'] == 'no'
        await fleet.set_fault('pages-1', name='clear')
        retried = (NOT_RUN, DUPLICATE)
        second = await retry_bill(
            fleet, 'i-2', 'refused', retried_outcomes=retried
        )
        assert second == RAN
        assert (await fleet.count_runs())['refused'] == 1

    run_shared(scenario)
