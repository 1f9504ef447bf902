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


POST = b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n%b'
RAW = (
    (b'Content-Length: 100\r\n\r\n{"model"', 408, 'request_timeout'),
    (b'X-Long: %b\r\n\r\n' % (b'x' * 9000), 431, 'headers_too_large'),
    (b'no such thing\r\n\r\n', 400, 'bad_request'),
    (b'Content-Length: 1\r\nContent-Length: 9\r\n\r\n', 400, 'bad_request'),
    (b'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 400, 'bad_request'),
)


@pytest.mark.parametrize(('sent', 'status', 'kind'), RAW)
def test_malformed_http_is_answered_and_closed(stage, fake, sent, status, kind):
    """A caller sends half a body and stops, or a head that is too long or no
    HTTP at all. It would hold a connection for ever or make the next request
    out of the rest; it is told what is wrong, and the connection ends.
    """

    async def run():
        engine = fake('a')
        async with stage([engine]) as on:
            answer = await on.send_raw(POST % sent)
        assert not engine.seen
        return answer

    answer = asyncio.run(run())
    assert int(answer.split()[1]) == status
    assert b'"ran":"no"' in answer
    assert kind.encode() in answer


def test_head_that_never_ends_is_let_go(stage, fake):
    """A caller opens a connection and sends a head line by line for ever.
    Hundreds of them would use up all connections; they are closed unseen.
    """

    async def run():
        async with stage([fake('a')], body_timeout_s=0.2) as on:
            return await on.send_raw(POST % b'X-More: ')

    assert asyncio.run(run()) == b''


def test_connections_are_bounded(stage, fake):
    """Callers open more connections than the instance may hold. Those beyond
    are told so at once, and there is room again when others have gone.
    """

    async def run():
        async with stage([fake('a')], connections=2) as on:
            for _ in range(2):
                assert (await on.post())[0] == 200
            host, _, port = on.url.removeprefix('http://').partition(':')
            held = [
                await asyncio.open_connection(host, int(port)) for _ in range(2)
            ]
            refused = await on.send_raw(b'')
            for _, writer in held:
                writer.close()
            while (await on.send_raw(HEALTH)).startswith(b'HTTP/1.1 429'):
                await asyncio.sleep(0.01)
            return refused

    refused = asyncio.run(run())
    assert refused.startswith(b'HTTP/1.1 429')
    assert b'overloaded' in refused


HEALTH = b'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
