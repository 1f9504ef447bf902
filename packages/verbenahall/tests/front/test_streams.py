"""Streams are complete or end with an error event."""

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
def test_stream_is_whole_where_engines_resume(run_front, fake, fault):
    """An engine fails within an event, ends the stream without its end marker,
    skips or repeats tokens, or refuses the request. The caller still gets the
    complete text, since another engine resumes at the next token.
    """

    async def run():
        fakes = [
            fake('a', lambda number: fault),
            fake('b', lambda number: fault if number == 0 else ''),
        ]
        fakes[1].fault = lambda number: ''
        async with run_front(fakes) as harness:
            bodies = [
                (await harness.post(stream=True, prompt='x'))[2]
                for _ in range(8)
            ]
        assert fakes[0].seen
        return bodies

    whole = 'x0 x1 x2 x3 x4 '
    for body in asyncio.run(run()):
        events = read_events(body)
        assert read_text(events) == whole
        assert events[-1] == '[DONE]'


@pytest.mark.parametrize('fault', ('die', 'truncate', 'gap'))
def test_short_stream_ends_with_an_error_event(run_front, fake, fault):
    """The only engine fails in the middle of a stream and cannot resume. The
    caller has a part of the answer and gets an error event.
    """

    async def run():
        fakes = [fake('a', lambda number: fault)]
        async with run_front(fakes, resumes=False) as harness:
            return await harness.post(stream=True)

    status, _, body = asyncio.run(run())
    events = read_events(body)
    assert status == 200
    assert '[DONE]' not in events
    error = json.loads(events[-1])['error']
    assert error['kind'] == 'answer_truncated'
    assert error['ran'] == 'yes'


def test_caller_gone_cancels_the_engines_work(run_front, fake, until):
    """A caller closes the connection in the middle of a stream. The attempt is
    cancelled at the engine, and its slot becomes free.
    """

    async def run():
        engine = fake('a', lambda number: 'stall' if number == 0 else '')
        async with run_front([engine]) as harness:
            body = {'model': 'm', 'prompt': 'p', 'stream': True}
            answer = await harness.client.post(
                f'{harness.url}/v1/completions',
                json=body,
            )
            await answer.content.readany()
            answer.close()
            await until(lambda: engine.cancelled)
            assert engine.cancelled == engine.started
            assert not harness.dependencies.load.get_or_create(
                'a'
            ).local_attempts

    asyncio.run(run())


def test_caller_that_stops_reading_is_let_go(run_front, fake, until):
    """A caller requests a long stream and never reads it. It would occupy the
    engine's slot until its deadline, and a few such callers all slots.
    """

    async def run():
        engine = fake('a')
        engine.tokens = 20_000
        async with run_front([engine], body_timeout_s=0.3) as harness:
            host, _, port = harness.url.removeprefix('http://').partition(':')
            _, writer = await asyncio.open_connection(host, int(port), limit=1)
            body = json.dumps(
                {'model': 'm', 'prompt': 'x' * 2000, 'stream': True},
            )
            head = 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            size = f'Content-Length: {len(body)}\r\n\r\n'
            writer.write(f'{head}{size}{body}'.encode())
            await until(lambda: engine.cancelled)
            await until(
                lambda: (
                    not harness.dependencies.load.get_or_create(
                        'a'
                    ).local_attempts
                )
            )
            writer.close()

    asyncio.run(run())
