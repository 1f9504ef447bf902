"""Requests from callers, valid and invalid, and the responses to them."""

import asyncio
import json

import pytest


@pytest.mark.parametrize('prompt', ('hello', 'long archive ' * 300))
def test_plain_answer_and_its_identity(run_front, fake, prompt):
    """A plain request gets the engine's response body and a request ID."""

    async def run():
        async with run_front([fake('a')]) as harness:
            return await harness.post(prompt=prompt)

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
def test_bad_request_gets_its_error_kind(
    run_front,
    fake,
    method,
    path,
    body,
    headers,
    status,
    kind,
):
    """A caller sends a request that is malformed, too large or to an unknown
    path. It gets the error kind and ran "no", and no engine gets a request.
    """

    async def run():
        engine = fake('a')
        async with run_front([engine]) as harness:
            async with harness.client.request(
                method,
                harness.url + path,
                data=body,
                headers=headers,
            ) as answer:
                assert not engine.seen
                return answer.status, (await answer.json())['error']

    answered_status, error = asyncio.run(run())
    assert (answered_status, error['kind'], error['ran']) == (
        status,
        kind,
        'no',
    )


POST = b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n%b'
RAW = (
    (b'Content-Length: 100\r\n\r\n{"model"', 408, 'request_timeout'),
    (b'X-Long: %b\r\n\r\n' % (b'x' * 9000), 431, 'headers_too_large'),
    (b'no such thing\r\n\r\n', 400, 'bad_request'),
    (b'Content-Length: 1\r\nContent-Length: 9\r\n\r\n', 400, 'bad_request'),
    (b'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 400, 'bad_request'),
)


@pytest.mark.parametrize(('sent', 'status', 'kind'), RAW)
def test_malformed_http_is_answered_and_closed(
    run_front, fake, sent, status, kind
):
    """A caller sends an incomplete body, a head that is too long, or bytes
    that are not HTTP. Without a timeout it would hold a connection for ever,
    and leftover bytes would be parsed as the next request. It gets an error
    response, and the connection is closed.
    """

    async def run():
        engine = fake('a')
        async with run_front([engine]) as harness:
            answer = await harness.send_raw(POST % sent)
        assert not engine.seen
        return answer

    answer = asyncio.run(run())
    assert int(answer.split()[1]) == status
    assert b'"ran":"no"' in answer
    assert kind.encode() in answer


def test_incomplete_head_times_out(run_front, fake):
    """A caller never completes its request head. Hundreds of such callers
    would use up the connection limit, so the connection is closed without a
    response.
    """

    async def run():
        async with run_front([fake('a')], body_timeout_s=0.2) as harness:
            return await harness.send_raw(POST % b'X-More: ')

    assert asyncio.run(run()) == b''


#: A request whose body has not ended.
PARTIAL = (
    b'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{'
)


@pytest.mark.parametrize('sent', [b'', PARTIAL])
def test_connections_are_bounded(run_front, fake, sent):
    """Callers open more connections than the limit. While all of them have a
    request under way, the excess ones get an error at once, and new ones are
    accepted after others have closed. Idle ones make room for new ones.
    """

    async def run():
        async with run_front([fake('a')], connections=2) as harness:
            for _ in range(2):
                assert (await harness.post())[0] == 200
            host, _, port = harness.url.removeprefix('http://').partition(':')
            held = []
            for _ in range(2):
                held.append(await asyncio.open_connection(host, int(port)))
                held[-1][1].write(sent)
                await asyncio.sleep(0.05)
            answered = await harness.send_raw(b'' if sent else HEALTH)
            for _, writer in held:
                writer.close()
            while (await harness.send_raw(HEALTH)).startswith(b'HTTP/1.1 429'):
                await asyncio.sleep(0.01)
            return answered

    answered = asyncio.run(run())
    if sent:
        assert answered.startswith(b'HTTP/1.1 429')
        assert b'overloaded' in answered
    else:
        assert answered.startswith(b'HTTP/1.1 200')


HEALTH = b'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
