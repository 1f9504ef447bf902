"""Writes snapshots when they are due."""

import asyncio
import random
from typing import Final

from absl import logging
from returns.result import Failure, Result, Success

from verbenahall import clock
from verbenahall.errors import Problem
from verbenahall.log import LogFollower
from verbenahall.records import Record
from verbenahall.snapshots._folds import FoldSet
from verbenahall.snapshots._marks import decode_mark
from verbenahall.snapshots._messages import Mark, Packed
from verbenahall.snapshots._packing import pack
from verbenahall.snapshots._schedule import (
    Schedule,
    ScheduleState,
    is_due,
    observe_log,
    observe_mark,
    reschedule,
)
from verbenahall.snapshots._store import SnapshotStore

_CHECK_S: Final = 1.0


class SnapshotWriter:
    """Packs the folds at the follower's position and writes them."""

    __slots__ = (
        '_folds',
        '_follower',
        '_packed',
        '_rng',
        '_schedule',
        '_state',
        '_store',
    )

    def __init__(
        self,
        store: SnapshotStore,
        folds: FoldSet,
        follower: LogFollower,
        schedule: Schedule,
    ) -> None:
        """Write the folds to which ``follower`` applies records."""
        self._store = store
        self._folds = folds
        self._follower = follower
        self._schedule = schedule
        self._state = ScheduleState(clock.monotonic())
        self._rng = random.Random()
        self._packed: Packed | None = None

    async def run(self) -> None:
        """Write whenever a snapshot is due, until cancelled."""
        period_s = min(_CHECK_S, self._schedule.spread_s)
        while True:
            await asyncio.sleep(period_s * self._rng.uniform(1, 2))
            if self._is_due():
                await self.write()

    async def write(self) -> Result[Mark, Problem]:
        """Write a snapshot of the folds' current state."""
        written = await self._store.write(await self.pack())
        match written:
            case Success(mark):
                observe_mark(self._state, mark, clock.monotonic())
                logging.info('snapshot of offset %d written', mark.upto)
            case Failure(problem):
                reschedule(self._state)
                logging.warning('snapshot not written: %s', problem.message)
        return written

    async def pack(self) -> Packed:
        """Return the packed folds; equal positions give equal bytes."""
        position = self._follower.position
        packed = self._packed
        if packed is None or packed.upto != position:
            packed = await pack(self._folds.dump(position))
            self._packed = packed
        return packed

    def record_mark(self, record: Record) -> None:
        """Handle a record of any stream; a mark postpones the next snapshot."""
        mark = decode_mark(record)
        if mark is not None:
            observe_mark(self._state, mark, clock.monotonic())

    def _is_due(self) -> bool:
        if self._folds.unknown_sections or self._follower.gap:
            # Snapshots contain a fold of a later release; one written without
            # it would lose that fold's state for good. A snapshot from before
            # a gap is of no use, and would postpone useful ones.
            return False
        observe_log(self._state, self._follower.first, self._follower.head)
        now = clock.monotonic()
        return is_due(self._state, self._schedule, now, self._rng)
