"""Arbitrary requests against a running front."""

import asyncio
import json
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=12,
)
FIELDS = ('model', 'prompt', 'messages', 'max_tokens', 'stream', 'adapter')
BODIES = st.one_of(
    st.binary(max_size=200),
    VALUES.map(lambda body: json.dumps(body).encode()),
    st.fixed_dictionaries(
        {},
        optional={name: VALUES | st.just('m') for name in FIELDS},
    ).map(lambda body: json.dumps(body).encode()),
)
HEADERS = st.dictionaries(
    st.sampled_from(
        (
            'X-Priority',
            'X-Deadline-Ms',
            'X-Workspace',
            'Idempotency-Key',
            'Content-Type',
            'Transfer-Encoding',
            'Expect',
        ),
    ),
    st.binary(max_size=30),
    max_size=4,
)
TARGETS = st.one_of(
    st.sampled_from(
        (
            b'/v1/completions',
            b'/v1/chat/completions',
            b'/services/pages/x',
            b'/services//',
            b'/services/%00%2e%2e/?%',
            b'/healthz',
            b'*',
        ),
    ),
    st.binary(max_size=40),
)
METHODS = st.sampled_from((b'POST', b'GET', b'PUT', b'HEAD', b'BREW', b'\x00'))


@pytest.fixture(scope='module')
def address(request):
    """Run one front in its own thread; yield its harness and event loop."""
    build = request.getfixturevalue('module_front')
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    harness, close = asyncio.run_coroutine_threadsafe(build(), loop).result(20)
    yield harness, loop
    asyncio.run_coroutine_threadsafe(close(), loop).result(20)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def join_head(method, target, headers, body):
    lines = [b'%b %b HTTP/1.1' % (method, target), b'Host: x']
    lines += [b'%b: %b' % (key.encode(), headers[key]) for key in headers]
    lines += [b'Connection: close', b'Content-Length: %d' % len(body)]
    return b'\r\n'.join([*lines, b'', body])


@settings(max_examples=300)
@given(METHODS, TARGETS, HEADERS, BODIES)
def test_anything_is_answered_in_kind(address, method, target, headers, body):
    """A broken or hostile caller sends arbitrary bytes as method, path, headers
    and body. It gets a response within its deadline, never an internal error,
    and an error response always has its kind and ran "no".
    """
    harness, loop = address
    sent = join_head(method, target, headers, body)
    answer = asyncio.run_coroutine_threadsafe(
        harness.send_raw(sent),
        loop,
    ).result(30)
    assert answer, sent
    answer = answer.removeprefix(b'HTTP/1.1 100 Continue\r\n\r\n')
    status = int(answer.split()[1])
    received_body = answer.partition(b'\r\n\r\n')[2]
    assert status in range(200, 500) or status == 503, answer
    if status >= 400 and method != b'HEAD':
        error = json.loads(received_body)['error']
        assert error['kind']
        assert error['ran'] == 'no'
