"""Instances on a log in memory for the tests of snapshots."""

import asyncio

from verbenahall.settings import SettingsFold, SettingsState, effective
from verbenahall.snapshots import SnapshotManager
from verbenahall_standins.memory import MemoryLog


class OtherFold:
    """A fold that keeps the offsets of its records."""

    name = 'other'

    def __init__(self):
        self.seen = []

    def apply_record(self, record):
        """Append the offset."""
        self.seen.append(record.offset)

    def dump(self):
        """Return the offsets."""
        return {'seen': list(self.seen)}

    def load(self, section):
        """Replace the offsets."""
        self.seen = list(section['seen'])


class Instance:
    """The folds and the snapshot manager of one instance."""

    def __init__(self, log, session=None, peers=(), schedule=None):
        self.settings = SettingsState()
        self.fold = SettingsFold(self.settings)
        self.other = OtherFold()
        self.manager = SnapshotManager(
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
        """Start within 0.2 s; return whether it is ready."""
        try:
            async with asyncio.timeout(0.2):
                await self.manager.start()
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
    await writer.manager.start()
    await writer.manager.writer.write()
    return log, writer
