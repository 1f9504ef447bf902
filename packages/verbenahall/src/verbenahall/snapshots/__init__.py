"""Snapshots of the folds' states at one offset, stored in the log.

Records expire, and their changes would be lost with them. A snapshot contains
every fold's state as of an offset. An instance without a state of its own
restores it from a snapshot and the records after it::

    manager = SnapshotManager(client, folds, session, peers)
    manager.add_routes(app)
    await manager.run()  # follows the log from the newest valid snapshot
"""

from verbenahall.snapshots._folds import FoldSet
from verbenahall.snapshots._messages import Foldable, Snapshot
from verbenahall.snapshots._packing import pack
from verbenahall.snapshots._peers import SNAPSHOT_PATH
from verbenahall.snapshots._schedule import Schedule
from verbenahall.snapshots._shell import SnapshotManager
from verbenahall.snapshots._store import SnapshotStore

__all__ = (
    'SNAPSHOT_PATH',
    'FoldSet',
    'Foldable',
    'Schedule',
    'Snapshot',
    'SnapshotManager',
    'SnapshotStore',
    'pack',
)
