"""Snapshots that are truncated, changed or malformed."""

import asyncio
import base64
import zlib

import pytest

from verbenahall.settings._state import Entry
from verbenahall_standins.memory import MemoryLog

from .conftest import Instance, prepare, publish


def _cut_part(log):
    body = log.records[4].body
    log.replace(5, state=body['state'][:-8])


def _change_part(log):
    body = log.records[4].body
    state = bytearray(base64.b64decode(body['state']))
    state[len(state) // 2] ^= 1
    log.replace(5, state=base64.b64encode(state).decode())


def _forge_part(log):
    packed = base64.b64decode(log.records[4].body['state'])
    text = zlib.decompress(packed).replace(b'"queue":2', b'"queue":9')
    log.replace(5, state=base64.b64encode(zlib.compress(text)).decode())


def _change_mark(log):
    log.replace(6, upto=3)


def _corrupt_part(log):
    log.replace(5, state=None, sha256=[])


def _corrupt_mark(log):
    log.replace(6, parts='many', start=-1)


@pytest.mark.parametrize(
    'damage',
    [
        _cut_part,
        _change_part,
        _forge_part,
        _change_mark,
        _corrupt_part,
        _corrupt_mark,
    ],
)
def test_damaged_snapshot_gives_way_to_the_older(damage):
    """The newest snapshot is truncated, changed or differs from its mark.

    An instance that loaded it would serve settings that were never published.
    It must start from the older snapshot and the records after that.
    """
    assert asyncio.run(_start_damaged(damage)) == {'club': 2}


async def _start_damaged(damage):
    # Offsets: 1 change, 2 part, 3 mark, 4 change, 5 part, 6 mark.
    log, writer = await prepare()
    await publish(log, 'club', 1, 2)
    await writer.manager.start()
    await writer.manager.writer.write()
    damage(log)
    log.expire(1)
    fresh = Instance(log)
    assert await fresh.try_start()
    return fresh.workspaces


def test_section_of_another_shape_changes_nothing():
    """A faulty release writes a section that this one cannot load.

    A fold that was loaded before the error would stay at the snapshot's
    offset and get the same records twice.
    """
    asyncio.run(_start_with_invalid_section())


async def _start_with_invalid_section():
    log = MemoryLog()
    writer = Instance(log)
    await publish(log, 'club', 0, 1)
    await writer.manager.start()
    writer.settings.entries['x', 'y'] = Entry('no path', '', '', {}, 1)
    await writer.manager.writer.write()
    fresh = Instance(log)

    assert await fresh.try_start()
    assert fresh.workspaces == {'club': 1}
    assert fresh.other.seen == [1, 3]
