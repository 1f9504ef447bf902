"""Engines in separate processes, with signals and injected faults."""

import asyncio
import collections
import contextlib
import json
import sys

import pytest

from verbenahall import journal
from verbenahall.fleet import EndpointStatus
from verbenahall_standins import process, text

COUNT = 2100
TOKENS = 12
FAULTS = (
    {'name': 'refuse'},
    {'name': 'reset', 'started': False},
    {'name': 'reset'},
    {'name': 'reset', 'after_bytes': 20},
    {'name': 'truncate', 'after_chunks': 4},
    {'name': 'duplicate'},
    {'name': 'late', 'delay_s': 0.2},
    {'name': 'hang', 'count': 2},
    {'name': 'hang', 'started': False, 'count': 2},
)


class EngineProcess:
    """A stand-in engine, with the status that membership would report."""

    def __init__(self, name):
        self.name = name
        self.status = EndpointStatus.LIVE
        arguments = ('--port', '0', '--name', name, '--model', 'm=1')
        self.running = process.start(
            'verbenahall_standins.engine',
            *arguments,
            '--instant',
        )
        self.address = self.running.address


@pytest.fixture
def engines():
    """Start four engines; stop them on exit."""
    with contextlib.ExitStack() as stack:
        started = []
        for name in 'abcd':
            engine = EngineProcess(name)
            stack.callback(process.stop_all, (engine.running,))
            started.append(engine)
        yield started


async def inject_faults(harness, engines, done):
    """Inject faults one after another; pause one engine and kill another."""
    for number, fault in enumerate(FAULTS * 2):
        engine = engines[number % 3]
        body = {'count': 15, 'path': '/v1', **fault}
        url = f'http://{engine.address}/faults'
        await harness.client.post(url, json=body)
        await asyncio.sleep(0.1)
        if number == 4:
            engines[3].running.process.kill()
            await asyncio.sleep(0.2)
            engines[3].status = EndpointStatus.SILENT
        if number == 8:
            engines[2].running.pause()
            await asyncio.sleep(0.3)
            engines[2].status = EndpointStatus.SILENT
            await asyncio.sleep(0.3)
            engines[2].running.resume()
            engines[2].status = EndpointStatus.LIVE
        if done():
            break


async def send(harness, number):
    """Send a plain, streamed or billed request; return the response."""
    headers = {'X-Deadline-Ms': '3000'}
    if number % 3 == 2:
        headers['Idempotency-Key'] = f'k{number}'
    return await harness.post(
        headers=headers,
        prompt=f'p{number}',
        stream=number % 3 == 1,
        max_tokens=TOKENS,
    )


async def read_starts(harness, engines):
    """Return the attempts that the remaining engines recorded as started."""
    starts = []
    for engine in engines[:3]:
        url = f'http://{engine.address}/record'
        async with harness.client.get(url) as answer:
            starts += (await answer.json())['started']
    return starts


def classify_answer(number, status, body):
    """Return ``whole``, ``ended``, or the value of ``ran`` in an error."""
    whole = text.build_expected_answer(f'p{number}', TOKENS, 'm')
    if status != 200:
        return json.loads(body)['error']['ran']
    if number % 3 != 1:
        assert json.loads(body)['choices'][0]['text'] == whole
        return 'whole'
    events = [event[6:] for event in body.decode().split('\n\n') if event]
    tables = [json.loads(event) for event in events[:-1]]
    received = ''.join(table['choices'][0]['text'] for table in tables)
    if events[-1] == '[DONE]':
        assert received == whole
        return 'whole'
    assert json.loads(events[-1])['error']['kind']
    assert whole.startswith(received)
    return 'ended'


@pytest.mark.process
def test_answers_are_whole_and_not_run_is_true(run_front, engines, monkeypatch):
    """Under load, engines refuse requests, reset connections, truncate or
    duplicate events, hang, are paused and killed. A response with status 200
    has the complete text of its own request or ends with an error event. A
    request that is reported as not run was not started by any engine, and no
    billed request starts twice.
    """
    monkeypatch.setattr(journal, 'recent', collections.deque())

    async def run():
        async with run_front(engines) as harness:
            semaphore = asyncio.Semaphore(24)
            answers = {}

            async def send_one(number):
                async with semaphore:
                    answers[number] = await send(harness, number)

            await asyncio.gather(
                inject_faults(harness, engines, lambda: len(answers) == COUNT),
                *(send_one(number) for number in range(COUNT)),
            )
            for engine in engines[:3]:
                body = {'name': 'clear'}
                await harness.client.post(
                    f'http://{engine.address}/faults',
                    json=body,
                )
            return answers, await read_starts(harness, engines)

    answers, starts = asyncio.run(run())
    attempts = collections.defaultdict(set)
    for line in journal.recent:
        if line['event'] == 'route':
            attempts[line['request']].add(line['attempt'])
    started = {run['attempt'] for run in starts}
    outcomes = collections.Counter()
    for number, (status, headers, body) in answers.items():
        outcome = classify_answer(number, status, body)
        outcomes[outcome] += 1
        if outcome == 'no':
            assert not attempts[headers['X-Request-Id']] & started
    keys = collections.Counter(run['key'] for run in starts if run['key'])
    assert max(keys.values()) == 1
    assert outcomes['whole'] > 0.8 * COUNT, outcomes
    assert sum(outcomes.values()) == COUNT
    sys.stdout.write(f'{outcomes}\n')
