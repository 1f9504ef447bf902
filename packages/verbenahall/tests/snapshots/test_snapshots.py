"""Snapshots with expired records, several writers and log outages."""

import asyncio
import random

from aiohttp import ClientSession, web
from returns.result import Failure

from verbenahall.snapshots import Schedule
from verbenahall_standins.memory import MemoryLog

from .conftest import Instance, prepare, publish


def test_settings_outlive_their_records():
    """Every record before the snapshot expires and all instances are replaced.

    Without snapshots the new ones would start without any settings.
    """
    asyncio.run(_restore_after_expiry())


async def _restore_after_expiry():
    log, writer = await prepare()
    log.expire(1)
    offset = await publish(log, 'late', 0, 7)
    fresh = Instance(log)

    assert await fresh.try_start()
    assert fresh.workspaces == {'club': 1, 'late': 7}
    assert fresh.manager.follower.position >= offset
    assert fresh.other.seen[0] == 1


def test_writer_that_dies_halfway_leaves_no_snapshot():
    """The writer fails after its parts and before its mark."""
    asyncio.run(_fail_before_mark())


async def _fail_before_mark():
    log, writer = await prepare()
    await publish(log, 'club', 1, 2)
    await writer.manager.start()
    log.fail_after = 1
    written = await writer.manager.writer.write()
    log.fail_after = 100
    log.expire(1)
    fresh = Instance(log)

    assert isinstance(written, Failure)
    assert log.records[-1].stream == 'snapshots'
    assert await fresh.try_start()
    assert fresh.workspaces == {'club': 2}


def test_two_writers_at_once_do_no_harm():
    """Two instances write at the same moment; their parts interleave."""
    asyncio.run(_write_twice())


async def _write_twice():
    log = MemoryLog()
    writers = [Instance(log), Instance(log)]
    await asyncio.gather(
        *(publish(log, f'{random.random()}', 0, 1) for _ in range(3000)),
    )
    await asyncio.gather(*(writer.manager.start() for writer in writers))
    await asyncio.gather(*(one.manager.writer.write() for one in writers))
    parts = [row for row in log.records if row.stream == 'snapshots']
    log.expire(3000)
    fresh = Instance(log)

    assert len({part.body['sha256'] for part in parts}) == 1
    assert [part.body['part'] for part in parts[:2]] == [0, 0]
    assert await fresh.try_start()
    assert len(fresh.workspaces) == 3000


def test_new_instance_without_any_snapshot_is_not_ready():
    """Records have expired that no snapshot contains.

    The instance must give the reason why it is not ready; if it served, it
    would revert settings.
    """
    asyncio.run(_start_without_snapshot())


async def _start_without_snapshot():
    log = MemoryLog()
    await publish(log, 'club', 0, 1)
    log.expire()
    async with ClientSession() as session:
        fresh = Instance(log, session)
        assert not await fresh.try_start()
    assert not fresh.manager.ready
    assert 'no valid snapshot' in fresh.manager.reason


def test_new_instance_starts_from_a_peer_while_the_log_is_down():
    """An instance is replaced during an outage of the log."""
    asyncio.run(_start_from_peer())


async def _start_from_peer():
    log, old = await prepare()
    app = web.Application()
    old.manager.add_routes(app)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    peers = ['{}:{}'.format(*runner.addresses[0]), '127.0.0.1:1']
    log.down = True
    async with ClientSession() as session:
        alone = Instance(log, session)
        fresh = Instance(log, session, peers)

        assert not await alone.try_start()
        assert 'no peer' in alone.manager.reason
        assert await fresh.try_start()
        assert fresh.workspaces == {'club': 1}
        await _refuse_older_peer(log, session, peers)
    await runner.cleanup()


async def _refuse_older_peer(log, session, peers):
    """An instance ahead of its peers does not load their snapshots."""
    log.down = False
    ahead = Instance(log, session, peers)
    await publish(log, 'club', 1, 2)
    await ahead.manager.start()
    log.down = True
    await ahead.manager.recover()

    assert ahead.workspaces == {'club': 2}


def test_instance_that_fell_behind_loads_and_never_goes_back():
    """An instance is paused for longer than the log keeps records.

    It must not skip the expired records, nor load a snapshot that is older
    than its position.
    """
    asyncio.run(_pause_instance())


async def _pause_instance():
    async with ClientSession() as session:
        log, writer = await prepare()
        await _load_after_gap(log, writer, Instance(log, session))


async def _load_after_gap(log, writer, paused):
    await paused.manager.start()
    before = paused.manager.follower.position
    offset = await publish(log, 'club', 1, 2)
    await publish(log, 'late', 0, 3)
    await writer.manager.start()
    log.expire(offset)

    await paused.manager.follower.poll(0)
    assert paused.manager.follower.position == before
    assert paused.manager.follower.gap

    await writer.manager.writer.write()
    await paused.manager.follower.poll(0)
    await paused.manager.follower.poll(0)
    assert not paused.manager.follower.gap
    assert paused.workspaces == {'club': 2, 'late': 3}


def test_few_copies_are_written_when_one_is_due():
    """Nine instances see at the same time that a snapshot is due.

    Without the random wait each would write one and overload a log with a
    low append rate.
    """
    marks = asyncio.run(_run_nine())

    assert 1 <= marks <= 4


async def _run_nine():
    log = MemoryLog()
    await publish(log, 'club', 0, 1)
    schedule = Schedule(refresh_s=0.5, spread_s=2)
    instances = [Instance(log, schedule=schedule) for _ in range(9)]
    tasks = [asyncio.create_task(one.manager.run()) for one in instances]
    async with asyncio.timeout(30):
        while _count_marks(log) == 0:
            await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _count_marks(log)


def _count_marks(log):
    return sum(record.stream == 'marks' for record in log.records)
