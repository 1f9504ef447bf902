"""Restores the folds, follows the log and serves snapshots to peers."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

from absl import logging
from aiohttp import ClientSession, web
from returns.result import Failure, Result, Success

from verbenahall import clock
from verbenahall.errors import ErrorKind, Problem, ProblemError
from verbenahall.log import LogClient, LogFollower
from verbenahall.records import Record
from verbenahall.snapshots._folds import FoldSet
from verbenahall.snapshots._messages import Foldable, Snapshot
from verbenahall.snapshots._packing import encode_packed
from verbenahall.snapshots._peers import SNAPSHOT_PATH, fetch_newest
from verbenahall.snapshots._schedule import Schedule
from verbenahall.snapshots._store import SnapshotStore
from verbenahall.snapshots._writer import SnapshotWriter

_RETRY_S: Final = 0.5
_JSON: Final = 'application/json'

#: Returns the current addresses of peers, nearest first.
Peers = Callable[[], Sequence[str]]
#: Returns whether a host (an IP address) is that of a peer.
IsPeer = Callable[[str], bool]


def _allow_all(host: str) -> bool:
    return True


class SnapshotManager:
    """Keeps the folds up to date and writes snapshots of them.

    ``ready`` becomes true once, when the folds have reached the end that the
    log had at the start (or the position of a peer, if the log does not
    answer). Until then ``reason`` is why the folds have not reached it. Their
    position is ``follower.position``.
    """

    __slots__ = (
        'follower',
        'ready',
        'reason',
        'writer',
        '_client',
        '_folds',
        '_is_peer',
        '_peers',
        '_session',
        '_store',
    )

    def __init__(
        self,
        client: LogClient,
        folds: Sequence[Foldable],
        session: ClientSession,
        peers: Peers,
        schedule: Schedule | None = None,
        is_peer: IsPeer = _allow_all,
    ) -> None:
        """Manage ``folds``; use ``session`` for calls to peers.

        ``is_peer`` returns whether a host may read this instance's snapshot.
        """
        self._is_peer = is_peer
        self.ready = False
        self.reason = 'the log has not been read yet'
        self.follower = LogFollower(
            client,
            [self._record_mark, *(fold.apply_record for fold in folds)],
            recover=self.recover,
        )
        self._client = client
        self._folds = FoldSet(folds)
        self._session = session
        self._peers = peers
        self._store = SnapshotStore(client)
        self.writer = SnapshotWriter(
            self._store,
            self._folds,
            self.follower,
            schedule or Schedule(),
        )

    async def run(self) -> None:
        """Restore the folds, then follow and write until cancelled."""
        await self.start()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            tasks.create_task(self.writer.run())

    async def start(self) -> None:
        """Restore the folds from the log or a peer; retry until it succeeds."""
        while not (
            await self._start_from_log() or await self._load_from_peer()
        ):
            logging.warning('not ready: %s', self.reason)
            await asyncio.sleep(_RETRY_S * random.uniform(1, 2))
        self.ready = True
        self.reason = ''
        logging.info('folds restored at offset %d', self.follower.position)

    async def recover(self) -> None:
        """Load a snapshot that contains the changes of expired records."""
        if await self._load_from_log() or await self._load_from_peer():
            logging.info(
                'snapshot loaded at offset %d after a gap',
                self.follower.position,
            )

    def add_routes(self, app: web.Application) -> None:
        """Serve this instance's snapshot to its peers."""
        app.router.add_get(SNAPSHOT_PATH, self._handle_peer)

    async def _start_from_log(self) -> bool:
        if not await self._load_from_log():
            return False
        wanted = self.follower.head
        while self.follower.position < wanted:
            position = self.follower.position
            self.reason = f'at offset {position} of {wanted} of the log'
            if not await self.follower.poll(0):
                return False
        return True

    async def _load_from_log(self) -> bool:
        """Load the newest snapshot that is ahead of the position.

        Return whether the log still keeps every record after the position, so
        that it can be followed.
        """
        read = await self._client.read(0, 1)
        if isinstance(read, Failure):
            self.reason = read.failure().message
            return False
        page = read.unwrap()
        # The log has answered. Otherwise an instance on a quiet log would
        # count it as unreachable during a whole long poll and claim no
        # lease.
        self.follower.last_contact = clock.monotonic()
        self.follower.head = max(self.follower.head, page.last)
        min_offset = max(page.first - 1, self.follower.position)
        applied = await self._store.apply_newest(min_offset, self._apply)
        if isinstance(applied, Failure):
            self.reason = applied.failure().message
            return False
        self.reason = f'no valid snapshot of offset {min_offset} or later'
        return self.follower.position >= page.first - 1

    async def _load_from_peer(self) -> bool:
        """Load the snapshot of a peer, which may be behind the log."""
        snapshot = await fetch_newest(self._session, self._peers())
        if snapshot is None:
            self.reason = f'{self.reason}; no peer has a snapshot'
            return False
        applied = self._apply(snapshot)
        if isinstance(applied, Failure):
            self.reason = applied.failure().message
        return isinstance(applied, Success)

    def _apply(self, snapshot: Snapshot) -> Result[None, Problem]:
        # The position never decreases: an instance that has applied a setting
        # must not return to an older one.
        position = self.follower.position
        if snapshot.upto < position:
            message = f'snapshot at {snapshot.upto} is before {position}'
            return Failure(Problem(ErrorKind.CONFLICT, message))
        loaded = self._folds.load(snapshot)
        if isinstance(loaded, Success):
            self.follower.advance(snapshot.upto)
        return loaded

    def _record_mark(self, record: Record) -> None:
        self.writer.record_mark(record)

    async def _handle_peer(self, request: web.Request) -> web.Response:
        # A snapshot contains the settings of all teams. Served to any process
        # that reaches the port, it would bypass the credentials of the
        # administration.
        if not self._is_peer(request.remote or ''):
            message = 'snapshots are for instances on the list'
            raise ProblemError(Problem(ErrorKind.FORBIDDEN, message))
        if not self.ready:
            raise ProblemError(Problem(ErrorKind.NOT_READY, self.reason))
        packed = await self.writer.pack()
        return web.Response(body=encode_packed(packed), content_type=_JSON)
