"""The store's client against invalid and refusing answers."""

import asyncio
import json

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from returns.result import Failure, Success

from verbenahall.platform import (
    Appended,
    Refused,
    StoreClient,
    StoreUnavailable,
    Unknown,
    make_session,
)


def call(status, body, use):
    """Run ``use`` with a client of a store that always answers the same."""

    async def answer(_request):
        return web.Response(status=status, body=body)

    async def run():
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', answer)
        async with TestServer(app) as server, make_session() as session:
            client = StoreClient(session, f'{server.host}:{server.port}')
            async with asyncio.timeout(3):
                return await use(client)

    return asyncio.run(run())


def dump_page(**changes):
    row = {'key': 'i-1', 'value': 'YWJj', 'offset': 4}
    page = {'items': [row], 'hasMore': False, 'end': 5}
    return json.dumps({**page, **changes}).encode()


def read_newest(client):
    return client.read_newest('keyed.servers')


def append(client):
    return client.append('keyed.leases', [b'one'], at=3)


def test_newest_records_are_decoded():
    match call(200, dump_page(), read_newest):
        case Success(newest):
            assert newest.items == {'i-1': b'abc'}
            assert (newest.positions, newest.end) == ({'i-1': 4}, 5)
        case failed:
            pytest.fail(repr(failed))


@pytest.mark.parametrize(
    'body',
    [
        b'{}',
        b'[]',
        b'<html>',
        dump_page(end='five'),
        dump_page(items=[{'key': 'i-1'}]),
        dump_page(items=[{'key': 'i-1', 'value': 'YWJ', 'offset': 4}]),
        dump_page(items=[{'key': 'i-1', 'value': 'YWJj', 'offset': None}]),
        dump_page(items=7),
    ],
)
def test_malformed_page_counts_as_no_answer(body):
    # A proxy between the instance and the store answers in its place. An
    # exception here would end the loop that follows the manifest, and the
    # instance would serve an old manifest from then on.
    match call(200, body, read_newest):
        case Failure(StoreUnavailable()):
            pass
        case other:
            pytest.fail(repr(other))


def test_endless_pages_count_as_no_answer():
    # A page says that more pages follow but has no key to continue after. The
    # client would read the same page in an endless loop.
    body = dump_page(items=[], hasMore=True)
    match call(200, body, read_newest):
        case Failure(StoreUnavailable()):
            pass
        case other:
            pytest.fail(repr(other))


def test_append_returns_its_offset():
    body = b'{"offset":3,"end":4}'
    assert call(200, body, append) == Appended(3)


@pytest.mark.parametrize('body', [b'{}', b'', b'{"offset":"3"}'])
def test_append_without_an_offset_is_unknown(body):
    # The answer to an append is truncated or comes from another program. The
    # offset is the fencing token: taken as zero, the holder would order engines
    # under the lowest token, and the claim of a successor would look older.
    outcome = call(200, body, append)
    assert isinstance(outcome, Unknown)


@pytest.mark.parametrize('status', [409, 412, 429, 503, 507])
def test_refused_append(status):
    assert call(status, b'{"end":9}', append) == Refused()
