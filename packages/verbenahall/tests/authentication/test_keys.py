"""Holders of API keys, withdrawn keys, and the rate of refreshes."""

import asyncio
import itertools
import time

import pytest
from returns.result import Failure, Success

from verbenahall.authentication import (
    KeyHistory,
    KeyRefresher,
    Workspace,
    authenticate,
    build_key_table,
    digest_key,
    is_retired,
    record_retired,
)
from verbenahall.errors import ErrorKind

PRESS = Workspace('press')
CLUB = Workspace('club', priority=0)
#: Longest processor time for the withdrawn keys of a manifest, in seconds.
MAX_RECORD_S = 0.2
WORKSPACES = 16_000
TABLE = build_key_table([(PRESS, ['one', 'two']), (CLUB, ['three'])])


@pytest.mark.parametrize(
    ('key', 'public', 'holder'),
    [
        ('one', False, PRESS),
        ('two', False, PRESS),
        ('three', True, CLUB),
        ('none', True, None),
    ],
)
def test_holder(key, public, holder):
    found = authenticate(TABLE, digest_key(key), public=public)
    assert found == Success(holder)


@pytest.mark.parametrize('digest', [b'', digest_key('none'), b'one'])
def test_unknown_key_is_unauthorized(digest):
    refused = authenticate(TABLE, digest, public=False)
    assert isinstance(refused, Failure)
    assert refused.failure().kind is ErrorKind.UNAUTHORIZED


def test_without_a_key_table_every_request_may_run():
    assert authenticate(None, b'', public=False) == Success(None)


def test_key_of_two_workspaces_is_refused_without_being_named():
    """Its requests couldn't be attributed; the logged message omits the key."""
    with pytest.raises(ValueError, match="'press' and 'club'") as caught:
        build_key_table([(PRESS, ['secret']), (CLUB, ['secret'])])
    assert 'secret' not in str(caught.value)


def test_workspace_may_have_no_keys():
    table = build_key_table([(PRESS, []), (CLUB, ['three'])])
    assert list(table.holders.values()) == [CLUB]


def test_retired_keys_are_kept_until_they_are_valid_again():
    history = KeyHistory()
    later = build_key_table([(CLUB, ['three', 'four'])])
    record_retired(history, TABLE, later)
    assert is_retired(history, digest_key('one'))
    assert not is_retired(history, digest_key('three'))
    record_retired(history, later, TABLE)
    assert not is_retired(history, digest_key('one'))
    assert is_retired(history, digest_key('four'))
    record_retired(history, TABLE, None)
    assert is_retired(history, digest_key('three'))


def test_many_withdrawn_keys_are_recorded_at_once():
    # Every manifest replaces a key of each of 16,000 workspaces. The event loop
    # stood still for seconds as the oldest withdrawn keys were dropped.
    history = KeyHistory()
    tables = [
        build_key_table(
            (Workspace(f'w-{number}'), [f'{number}-{version}', f'{number}+'])
            for number in range(WORKSPACES)
        )
        for version in range(6)
    ]
    started = time.process_time()
    for before, after in itertools.pairwise(tables):
        record_retired(history, before, after)
    assert time.process_time() - started < MAX_RECORD_S * (len(tables) - 1)
    newest = tables[-2].holders.keys() - tables[-1].holders.keys()
    assert len(newest) == WORKSPACES
    assert all(is_retired(history, digest) for digest in newest)
    assert len(history.retired) < 2 * WORKSPACES


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.seconds = 0

    def __call__(self):
        return self.seconds


def test_refreshes_are_shared_and_limited_in_rate():
    """Otherwise each random key would cost a call to the store."""

    async def check():
        calls = []
        answer = asyncio.Event()

        async def refresh():
            calls.append(1)
            await answer.wait()
            return True

        clock = Clock()
        key_refresher = KeyRefresher(refresh, clock)
        waiting = [
            asyncio.create_task(key_refresher.refresh()) for _ in range(5)
        ]
        await asyncio.sleep(0)
        waiting[0].cancel()
        answer.set()
        assert all(await asyncio.gather(*waiting[1:]))
        assert not await key_refresher.refresh()
        clock.seconds += 1
        assert await key_refresher.refresh()
        assert len(calls) == 2

    asyncio.run(check())
