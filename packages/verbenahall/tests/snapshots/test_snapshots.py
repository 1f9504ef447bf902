"""Snapshots under expiry, damage, two writers and a silent log."""

import asyncio
import base64
import random
import zlib

import pytest
from aiohttp import ClientSession, web
from returns.result import Failure

from verbenahall.settings import SettingsFold, SettingsState, effective
from verbenahall.settings._state import Entry
from verbenahall.snapshots import Schedule, SnapshotKeeper
from verbenahall_standins.memory import MemoryLog


class OtherFold:
    """Another slice's fold: the offsets that it was given."""

    name = 'other'

    def __init__(self):
        self.seen = []

    def apply_record(self, record):
        """Keep the offset."""
        self.seen.append(record.offset)

    def dump(self):
        """Return the offsets."""
        return {'seen': list(self.seen)}

    def load(self, section):
        """Take the offsets over."""
        self.seen = list(section['seen'])


class Instance:
    """One instance's folds and keeper."""

    def __init__(self, log, session=None, peers=(), schedule=None):
        self.settings = SettingsState()
        self.fold = SettingsFold(self.settings)
        self.other = OtherFold()
        self.keeper = SnapshotKeeper(
            log,
            [self.other, self.fold],
            session,
            lambda: peers,
            schedule,
        )

    @property
    def workspaces(self):
        """Return each workspace's queue."""
        return {
            name: workspace.queue
            for name, workspace in effective(self.settings).workspaces.items()
        }

    async def try_start(self):
        """Start within a moment; return whether it is ready."""
        try:
            async with asyncio.timeout(0.2):
                await self.keeper.start()
        except TimeoutError:
            return False
        return True


async def publish(log, name, base, queue):
    """Append one change of a workspace; return its offset."""
    change = {
        'path': f'desk/workspaces/{name}',
        'base': base,
        'value': queue and {'queue': queue},
    }
    body = {'team': 'desk', 'author': 'ann', 'changes': [change]}
    return (await log.append('settings', body)).unwrap()


async def prepare():
    """Return a log with one change and a snapshot, and its writer."""
    log = MemoryLog()
    writer = Instance(log)
    await publish(log, 'club', 0, 1)
    await writer.keeper.start()
    await writer.keeper.writer.write()
    return log, writer


def test_settings_outlive_their_records():
    """Every record before the snapshot expires and all instances go.

    Without snapshots the new ones would start with nothing and answer as if
    nothing had ever been published.
    """
    asyncio.run(_outlive())


async def _outlive():
    log, writer = await prepare()
    log.expire(1)
    offset = await publish(log, 'late', 0, 7)
    fresh = Instance(log)

    assert await fresh.try_start()
    assert fresh.workspaces == {'club': 1, 'late': 7}
    assert fresh.keeper.follower.position >= offset
    assert fresh.other.seen[0] == 1


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


def _misdate_mark(log):
    log.replace(6, upto=3)


def _garble_part(log):
    log.replace(5, state=None, sha256=[])


def _garble_mark(log):
    log.replace(6, parts='many', start=-1)


@pytest.mark.parametrize(
    'damage',
    [
        _cut_part,
        _change_part,
        _forge_part,
        _misdate_mark,
        _garble_part,
        _garble_mark,
    ],
)
def test_damaged_snapshot_gives_way_to_the_older(damage):
    """The newest snapshot is cut, altered or not what its mark says.

    An instance that took it over would serve settings that nobody published;
    it starts from the older one and the records after it.
    """
    assert asyncio.run(_start_damaged(damage)) == {'club': 2}


async def _start_damaged(damage):
    # Offsets: 1 change, 2 part, 3 mark, 4 change, 5 part, 6 mark.
    log, writer = await prepare()
    await publish(log, 'club', 1, 2)
    await writer.keeper.start()
    await writer.keeper.writer.write()
    damage(log)
    log.expire(1)
    fresh = Instance(log)
    assert await fresh.try_start()
    return fresh.workspaces


def test_section_of_another_shape_changes_nothing():
    """A faulty release writes a section that this one cannot read.

    A fold that was loaded before it would stay at the snapshot's offset and
    be given the same records twice.
    """
    asyncio.run(_start_misshapen())


async def _start_misshapen():
    log = MemoryLog()
    writer = Instance(log)
    await publish(log, 'club', 0, 1)
    await writer.keeper.start()
    writer.settings.entries['x', 'y'] = Entry('no path', '', '', {}, 1)
    await writer.keeper.writer.write()
    fresh = Instance(log)

    assert await fresh.try_start()
    assert fresh.workspaces == {'club': 1}
    assert fresh.other.seen == [1, 3]


def test_writer_that_dies_halfway_leaves_no_snapshot():
    """The writer is killed after its parts and before its mark."""
    asyncio.run(_die_halfway())


async def _die_halfway():
    log, writer = await prepare()
    await publish(log, 'club', 1, 2)
    await writer.keeper.start()
    log.fail_after = 1
    written = await writer.keeper.writer.write()
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
    await asyncio.gather(*(writer.keeper.start() for writer in writers))
    await asyncio.gather(*(one.keeper.writer.write() for one in writers))
    parts = [row for row in log.records if row.stream == 'snapshots']
    log.expire(3000)
    fresh = Instance(log)

    assert len({part.body['sha256'] for part in parts}) == 1
    assert [part.body['part'] for part in parts[:2]] == [0, 0]
    assert await fresh.try_start()
    assert len(fresh.workspaces) == 3000


def test_new_instance_without_any_snapshot_is_not_ready():
    """Records expired that no snapshot holds.

    The instance says why it is not ready; serving would revert settings.
    """
    asyncio.run(_start_without_snapshot())


async def _start_without_snapshot():
    log = MemoryLog()
    await publish(log, 'club', 0, 1)
    log.expire()
    async with ClientSession() as session:
        fresh = Instance(log, session)
        assert not await fresh.try_start()
    assert not fresh.keeper.ready
    assert 'no good snapshot' in fresh.keeper.reason


def test_new_instance_starts_from_a_peer_while_the_log_is_down():
    """An instance is replaced in the middle of the log's outage."""
    asyncio.run(_start_from_peer())


async def _start_from_peer():
    log, old = await prepare()
    app = web.Application()
    old.keeper.add_routes(app)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    peers = ['{}:{}'.format(*runner.addresses[0]), '127.0.0.1:1']
    log.down = True
    async with ClientSession() as session:
        alone = Instance(log, session)
        fresh = Instance(log, session, peers)

        assert not await alone.try_start()
        assert 'no peer' in alone.keeper.reason
        assert await fresh.try_start()
        assert fresh.workspaces == {'club': 1}
        await _refuse_older_peer(log, session, peers)
    await runner.cleanup()


async def _refuse_older_peer(log, session, peers):
    """An instance ahead of its peers does not go back to them."""
    log.down = False
    ahead = Instance(log, session, peers)
    await publish(log, 'club', 1, 2)
    await ahead.keeper.start()
    log.down = True
    await ahead.keeper.recover()

    assert ahead.workspaces == {'club': 2}


def test_instance_that_fell_behind_loads_and_never_goes_back():
    """An instance is paused for longer than the log keeps records.

    It must neither skip what expired nor load a snapshot older than what it
    has answered by.
    """
    asyncio.run(_fall_behind())


async def _fall_behind():
    async with ClientSession() as session:
        log, writer = await prepare()
        await _load_after_gap(log, writer, Instance(log, session))


async def _load_after_gap(log, writer, paused):
    await paused.keeper.start()
    before = paused.keeper.follower.position
    offset = await publish(log, 'club', 1, 2)
    await publish(log, 'late', 0, 3)
    await writer.keeper.start()
    log.expire(offset)

    await paused.keeper.follower.poll(0)
    assert paused.keeper.follower.position == before
    assert paused.keeper.follower.gap

    await writer.keeper.writer.write()
    await paused.keeper.follower.poll(0)
    await paused.keeper.follower.poll(0)
    assert not paused.keeper.follower.gap
    assert paused.workspaces == {'club': 2, 'late': 3}


def test_few_copies_are_written_when_one_is_due():
    """Nine instances see at the same time that a snapshot is due.

    Without the random wait each would write one, at the worst moment for a
    log that takes few appends.
    """
    marks = asyncio.run(_run_nine())

    assert 1 <= marks <= 4


async def _run_nine():
    log = MemoryLog()
    await publish(log, 'club', 0, 1)
    schedule = Schedule(refresh_s=0.5, spread_s=2)
    instances = [Instance(log, schedule=schedule) for _ in range(9)]
    tasks = [asyncio.create_task(one.keeper.run()) for one in instances]
    async with asyncio.timeout(30):
        while _count_marks(log) == 0:
            await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _count_marks(log)


def _count_marks(log):
    return sum(record.stream == 'marks' for record in log.records)
