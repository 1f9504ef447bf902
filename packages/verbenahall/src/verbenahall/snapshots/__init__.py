"""Snapshots: the folds' states at one offset, kept in the log.

Records expire, and with them what they changed. A snapshot holds every
fold's state as of an offset; with the records after it an instance that
keeps nothing of its own is whole again::

    keeper = SnapshotKeeper(client, folds, session, peers)
    keeper.add_routes(app)
    await keeper.run()  # follows the log from the newest good snapshot
"""

from verbenahall.snapshots._folds import FoldSet
from verbenahall.snapshots._messages import Foldable, Snapshot
from verbenahall.snapshots._packing import pack
from verbenahall.snapshots._peers import SNAPSHOT_PATH
from verbenahall.snapshots._schedule import Schedule
from verbenahall.snapshots._shell import SnapshotKeeper
from verbenahall.snapshots._store import SnapshotStore

__all__ = (
    'SNAPSHOT_PATH',
    'FoldSet',
    'Foldable',
    'Schedule',
    'Snapshot',
    'SnapshotKeeper',
    'SnapshotStore',
    'pack',
)
