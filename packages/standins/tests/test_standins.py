"""The stand-ins as processes: the behaviour that other tests rely on."""

import asyncio
import contextlib

import aiohttp
import pytest

from verbenahall_standins import process, text

pytestmark = pytest.mark.process

PROMPT = 'fixtures of May'


def build_call(stream=False):
    return {
        'model': 'draft',
        'prompt': PROMPT,
        'max_tokens': 6,
        'stream': stream,
    }


def build_order(fencing):
    target = {'role': 'mixed', 'models': {'draft': '1'}, 'adapters': []}
    return {'order': f'{fencing}.0', 'fencing': fencing, 'target': target}


@contextlib.contextmanager
def running(module, *arguments):
    started = process.start(f'verbenahall_standins.{module}', *arguments)
    try:
        yield f'http://{started.address}'
    finally:
        started.stop()


def engine(*arguments):
    return running('engine', '--model', 'draft=1', '--instant', *arguments)


async def call(method, url, **options):
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, **options) as answer:
            return answer.status, await answer.read(), answer.headers


async def read_json(method, url, **options):
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, **options) as answer:
            return await answer.json()


async def wait_and_append(url):
    reading = asyncio.create_task(
        read_json('GET', f'{url}/read?after=0&wait=30'),
    )
    await asyncio.sleep(0)
    record = {'stream': 'settings', 'id': 'a', 'body': {'x': 1}}
    await read_json('POST', f'{url}/append', json=record)
    async with asyncio.timeout(20):
        return await reading


def run(coroutine):
    return asyncio.run(coroutine)


def test_log_orders_filters_and_expires():
    """Records expire; ``first`` lets a reader detect the gap."""
    with running('log', '--kept', '3', '--rate', '1000') as url:
        for number in range(5):
            stream = 'orders' if number % 2 else 'settings'
            record = {'stream': stream, 'id': f'i{number}', 'body': {}}
            appended = run(read_json('POST', f'{url}/append', json=record))
            assert appended == {'offset': number + 1}
        page = run(read_json('GET', f'{url}/read?after=0&streams=settings'))
        assert [record['offset'] for record in page['records']] == [3, 5]
        assert (page['first'], page['last']) == (3, 5)
        page = run(read_json('GET', f'{url}/read?after=3&limit=1'))
        assert [record['offset'] for record in page['records']] == [4]


def test_append_ends_a_long_poll():
    """A waiting reader gets a record as soon as it is appended."""
    with running('log') as url:
        page = run(wait_and_append(url))
    assert page['records'][0]['body'] == {'x': 1}


def test_log_loses_answer_after_effect():
    """An append takes effect although its answer is lost.

    The writer can learn this only by reading the log.
    """
    with running('log') as url:
        record = {'stream': 'settings', 'id': 'a', 'body': {}}
        fault = {'name': 'lose_answer', 'count': 1}
        run(call('POST', f'{url}/faults', json=fault))
        with pytest.raises(aiohttp.ClientError):
            run(call('POST', f'{url}/append', json=record))
        page = run(read_json('GET', f'{url}/read?after=0'))
    assert [found['id'] for found in page['records']] == ['a']


def test_log_partition_affects_only_named_holders():
    """One holder is cut off from the log while another reaches it."""
    with running('log') as url:
        fault = {'name': 'partition', 'holders': ['instance-1']}
        run(call('POST', f'{url}/faults', json=fault))
        cut_off = {'X-Instance': 'instance-1'}
        with pytest.raises(aiohttp.ClientError):
            run(call('GET', f'{url}/read?after=0', headers=cut_off))
        connected = {'X-Instance': 'instance-2'}
        answer = run(call('GET', f'{url}/read?after=0', headers=connected))
    assert answer[0] == 200


@pytest.mark.parametrize(
    ('fault', 'whole', 'started'),
    [
        ({'name': 'truncate', 'after_chunks': 2}, False, 1),
        ({'name': 'reset', 'after_bytes': 90}, False, 1),
        ({'name': 'reset', 'after_bytes': 0}, False, 1),
        ({'name': 'reset', 'started': False}, False, 0),
        ({'name': 'lose_answer'}, False, 1),
        ({'name': 'refuse'}, False, 0),
        ({'name': 'late', 'delay_s': 0.01}, True, 1),
    ],
)
def test_engine_faults_match_its_record(fault, whole, started):
    """The record shows which requests ran, also if their answer was lost."""
    with engine() as url:
        run(call('POST', f'{url}/faults', json={**fault, 'count': 1}))
        body = b''
        with contextlib.suppress(aiohttp.ClientError):
            call_body = build_call(stream=True)
            completions = f'{url}/v1/completions'
            answer = run(call('POST', completions, json=call_body))
            body = answer[1]
        record = run(read_json('GET', f'{url}/record'))
    assert body.endswith(b'[DONE]\n\n') is whole
    assert len(record['started']) == started


def test_engine_answer_is_predictable():
    """Tests derive the expected answer from the request alone."""
    with engine() as url:
        completions = f'{url}/v1/completions'
        answer = run(read_json('POST', completions, json=build_call()))
    expected = text.build_expected_answer(PROMPT, 6, 'draft')
    assert answer['choices'][0]['text'] == expected


@pytest.mark.parametrize(
    ('flags', 'status'),
    [((), 409), (('--ignore-fencing',), 200)],
)
def test_engine_checks_fencing_token(flags, status):
    """A holder that lost its lease may still send orders.

    Engines that check fencing tokens refuse them, others execute them.
    """
    with engine(*flags) as url:
        newer = run(call('POST', f'{url}/orders', json=build_order(9)))
        older = run(call('POST', f'{url}/orders', json=build_order(4)))
    assert (newer[0], older[0]) == (200, status)


def test_list_shows_an_endpoint_after_its_lag():
    """A registered endpoint appears in the list only after the lag."""
    with running('registry', '--lag', '600') as url:
        entry = {'name': 'engine-1', 'kind': 'engine'}
        run(call('POST', f'{url}/register', json=entry))
        shown = run(read_json('GET', f'{url}/list'))
        known = run(read_json('GET', f'{url}/record'))
    assert not shown['entries']
    assert [row['name'] for row in known['entries']] == ['engine-1']
