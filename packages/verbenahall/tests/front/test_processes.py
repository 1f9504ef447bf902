"""Engines as processes of their own, with signals and switched faults."""

import asyncio
import collections
import contextlib
import json
import sys

import pytest

from verbenahall import journal
from verbenahall.fleet import Standing
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
    """A stand-in engine, and the standing that membership would give it."""

    def __init__(self, name):
        self.name = name
        self.standing = Standing.LIVE
        arguments = ('--port', '0', '--name', name, '--model', 'm=1')
        self.running = process.start(
            'verbenahall_standins.engine',
            *arguments,
            '--instant',
        )
        self.address = self.running.address


@pytest.fixture
def engines():
    """Start four engines; stop them whatever happens."""
    with contextlib.ExitStack() as stack:
        started = []
        for name in 'abcd':
            engine = EngineProcess(name)
            stack.callback(process.stop_all, (engine.running,))
            started.append(engine)
        yield started


async def disturb(on, engines, done):
    """Switch faults in turn; pause one engine, kill another."""
    for number, fault in enumerate(FAULTS * 2):
        engine = engines[number % 3]
        body = {'count': 15, 'path': '/v1', **fault}
        url = f'http://{engine.address}/faults'
        await on.client.post(url, json=body)
        await asyncio.sleep(0.1)
        if number == 4:
            engines[3].running.process.kill()
            await asyncio.sleep(0.2)
            engines[3].standing = Standing.SILENT
        if number == 8:
            engines[2].running.pause()
            await asyncio.sleep(0.3)
            engines[2].standing = Standing.SILENT
            await asyncio.sleep(0.3)
            engines[2].running.resume()
            engines[2].standing = Standing.LIVE
        if done():
            break


async def ask(on, number):
    """Send a plain, a streamed or a billed request; return what was told."""
    headers = {'X-Deadline-Ms': '3000'}
    if number % 3 == 2:
        headers['Idempotency-Key'] = f'k{number}'
    return await on.post(
        headers=headers,
        prompt=f'p{number}',
        stream=number % 3 == 1,
        max_tokens=TOKENS,
    )


async def read_starts(on, engines):
    """Return the attempts that the living engines say they started."""
    starts = []
    for engine in engines[:3]:
        url = f'http://{engine.address}/record'
        async with on.client.get(url) as answer:
            starts += (await answer.json())['started']
    return starts


def judge(number, status, body):
    """Return what a caller read: whole, ended, or the word for ran."""
    whole = text.write_answer(f'p{number}', TOKENS, 'm')
    if status != 200:
        return json.loads(body)['error']['ran']
    if number % 3 != 1:
        assert json.loads(body)['choices'][0]['text'] == whole
        return 'whole'
    events = [event[6:] for event in body.decode().split('\n\n') if event]
    tables = [json.loads(event) for event in events[:-1]]
    told = ''.join(table['choices'][0]['text'] for table in tables)
    if events[-1] == '[DONE]':
        assert told == whole
        return 'whole'
    assert json.loads(events[-1])['error']['kind']
    assert whole.startswith(told)
    return 'ended'


@pytest.mark.process
def test_answers_are_whole_and_not_run_is_true(stage, engines, monkeypatch):
    """Engines refuse, reset, truncate, repeat themselves, hang, are stopped
    and killed under load. A caller that reads a 200 has the whole text of its
    own request or an error event, one that reads "not run" finds no start in
    the engines' own record, and nothing billed starts twice.
    """
    monkeypatch.setattr(journal, 'recent', collections.deque())

    async def run():
        async with stage(engines) as on:
            gate = asyncio.Semaphore(24)
            told = {}

            async def ask_one(number):
                async with gate:
                    told[number] = await ask(on, number)

            await asyncio.gather(
                disturb(on, engines, lambda: len(told) == COUNT),
                *(ask_one(number) for number in range(COUNT)),
            )
            for engine in engines[:3]:
                body = {'name': 'clear'}
                await on.client.post(
                    f'http://{engine.address}/faults',
                    json=body,
                )
            return told, await read_starts(on, engines)

    told, starts = asyncio.run(run())
    attempts = collections.defaultdict(set)
    for line in journal.recent:
        if line['event'] == 'route':
            attempts[line['request']].add(line['attempt'])
    started = {run['attempt'] for run in starts}
    outcomes = collections.Counter()
    for number, (status, headers, body) in told.items():
        outcome = judge(number, status, body)
        outcomes[outcome] += 1
        if outcome == 'no':
            assert not attempts[headers['X-Request-Id']] & started
    keys = collections.Counter(run['key'] for run in starts if run['key'])
    assert max(keys.values()) == 1
    assert outcomes['whole'] > 0.8 * COUNT, outcomes
    assert sum(outcomes.values()) == COUNT
    sys.stdout.write(f'{outcomes}\n')
