"""Streams: whole, or ended by an error event, never silently short."""

import asyncio
import json

import pytest

FAULTY_FIRST = ('die', 'truncate', 'gap', 'duplicate', 'refuse', 'reset_before')


def read_events(body):
    return [
        event.removeprefix('data: ')
        for event in body.decode().split('\n\n')
        if event
    ]


def read_text(events):
    tokens = [json.loads(event) for event in events if event != '[DONE]']
    return ''.join(token['choices'][0]['text'] for token in tokens)


@pytest.mark.parametrize('fault', FAULTY_FIRST)
def test_stream_is_whole_where_engines_resume(stage, fake, fault):
    """An engine dies inside an event, ends without the mark, leaves a token
    out, sends tokens twice, or refuses. The caller notices nothing: the text
    is whole, since another engine goes on at the token reached.
    """

    async def run():
        fakes = [
            fake('a', lambda number: fault),
            fake('b', lambda number: fault if number == 0 else ''),
        ]
        fakes[1].fault = lambda number: ''
        async with stage(fakes) as on:
            bodies = [
                (await on.post(stream=True, prompt='x'))[2] for _ in range(8)
            ]
        assert fakes[0].seen
        return bodies

    whole = 'x0 x1 x2 x3 x4 '
    for body in asyncio.run(run()):
        events = read_events(body)
        assert read_text(events) == whole
        assert events[-1] == '[DONE]'


@pytest.mark.parametrize('fault', ('die', 'truncate', 'gap'))
def test_short_stream_ends_with_an_error_event(stage, fake, fault):
    """The only engine dies in mid-stream and cannot resume. The caller has a
    part of the answer and reads an error event that says so.
    """

    async def run():
        fakes = [fake('a', lambda number: fault)]
        async with stage(fakes, resumes=False) as on:
            return await on.post(stream=True)

    status, _, body = asyncio.run(run())
    events = read_events(body)
    assert status == 200
    assert '[DONE]' not in events
    error = json.loads(events[-1])['error']
    assert error['kind'] == 'answer_truncated'
    assert error['ran'] == 'yes'


def test_caller_gone_cancels_the_engines_work(stage, fake, until):
    """A caller closes the connection in mid-stream. Nobody would read the
    rest, so the engine is told to stop and its slot is free again.
    """

    async def run():
        engine = fake('a', lambda number: 'stall' if number == 0 else '')
        async with stage([engine]) as on:
            body = {'model': 'm', 'prompt': 'p', 'stream': True}
            answer = await on.client.post(
                f'{on.url}/v1/completions',
                json=body,
            )
            await answer.content.readany()
            answer.close()
            await until(lambda: engine.cancelled)
            assert engine.cancelled == engine.started
            assert not on.parts.load.of('a').own

    asyncio.run(run())


def test_caller_that_stops_reading_is_let_go(stage, fake, until):
    """A caller asks for a long stream and never reads it. It would hold the
    engine's slot until its deadline, and a few such callers would hold all.
    """

    async def run():
        engine = fake('a')
        engine.tokens = 20_000
        async with stage([engine], body_timeout_s=0.3) as on:
            host, _, port = on.url.removeprefix('http://').partition(':')
            _, writer = await asyncio.open_connection(host, int(port), limit=1)
            body = json.dumps(
                {'model': 'm', 'prompt': 'x' * 2000, 'stream': True},
            )
            head = 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            size = f'Content-Length: {len(body)}\r\n\r\n'
            writer.write(f'{head}{size}{body}'.encode())
            await until(lambda: engine.cancelled)
            await until(lambda: not on.parts.load.of('a').own)
            writer.close()

    asyncio.run(run())
