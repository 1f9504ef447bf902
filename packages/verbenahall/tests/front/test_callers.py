"""What callers may send, and what they are told."""

import asyncio
import json

import pytest


@pytest.mark.parametrize('prompt', ('hello', 'long archive ' * 300))
def test_plain_answer_and_its_identity(stage, fake, prompt):
    """A plain request is answered by the engine's own body."""

    async def run():
        async with stage([fake('a')]) as on:
            return await on.post(prompt=prompt)

    status, headers, body = asyncio.run(run())
    assert status == 200
    assert json.loads(body)['echo'] == prompt
    assert headers['X-Request-Id']


BAD = (
    ('POST', '/v1/completions', b'{', {}, 400, 'bad_request'),
    ('POST', '/v1/completions', b'[]', {}, 400, 'bad_request'),
    ('POST', '/v1/completions', b'{"model":"m"}', {}, 400, 'bad_request'),
    (
        'POST',
        '/v1/completions',
        b'{"model":"m","prompt":"p","max_tokens":true}',
        {},
        400,
        'bad_request',
    ),
    (
        'POST',
        '/v1/completions',
        b'{"model":"m","prompt":"p","x":%b%b}' % (b'[' * 40, b']' * 40),
        {},
        400,
        'bad_request',
    ),
    (
        'POST',
        '/v1/completions',
        b'{"model":"none","prompt":"p"}',
        {},
        404,
        'unknown_model',
    ),
    ('POST', '/v1/completions', b'x' * 70_000, {}, 413, 'too_large'),
    ('POST', '/v1/completions', b'{}', {'X-Priority': '9'}, 400, 'bad_request'),
    (
        'POST',
        '/v1/completions',
        b'{}',
        {'X-Deadline-Ms': '-1'},
        400,
        'bad_request',
    ),
    ('GET', '/v1/completions', b'', {}, 405, 'method_not_allowed'),
    ('POST', '/v1/nothing', b'{}', {}, 404, 'not_found'),
    ('GET', '/services/none/x', b'', {}, 404, 'not_found'),
)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'status', 'kind'),
    BAD,
)
def test_bad_request_is_answered_from_the_table(
    stage,
    fake,
    method,
    path,
    body,
    headers,
    status,
    kind,
):
    """A caller sends something malformed, too large, or to no such place. It
    reads the kind of its error and that nothing ran, and no engine is asked.
    """

    async def run():
        engine = fake('a')
        async with stage([engine]) as on:
            async with on.client.request(
                method,
                on.url + path,
                data=body,
                headers=headers,
            ) as answer:
                assert not engine.seen
                return answer.status, (await answer.json())['error']

    found, error = asyncio.run(run())
    assert (found, error['kind'], error['ran']) == (status, kind, 'no')


def test_slow_sender_is_let_go(stage, fake):
    """A caller sends half a body and stops. It would hold a connection for
    ever; it is told that the request timed out, and the connection ends.
    """

    async def run():
        async with stage([fake('a')]) as on:
            host, _, port = on.url.removeprefix('http://').partition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                b'Content-Length: 100\r\n\r\n{"model"',
            )
            answer = await asyncio.wait_for(reader.read(), 20)
            writer.close()
            return answer

    answer = asyncio.run(run())
    assert answer.startswith(b'HTTP/1.1 408')
    assert b'request_timeout' in answer
