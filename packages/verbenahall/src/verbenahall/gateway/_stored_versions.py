"""The software versions of all services, as the store has them on record.

An instance that was started again has no past of its own, and if all were, none
has: a service may have had another version a moment ago. So followers of the
endpoints' topic keep a checkpoint in the store: the versions that have served
lately, and the position in the topic up to which that is all. A started
instance reads the checkpoint, and in the topic what came after it. If either
can't be read, the past is not known; the absence of a record proves nothing.
"""

import math
from collections.abc import Callable, Mapping
from typing import Final, final

from returns.maybe import Nothing
from returns.result import Success

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.gateway._list_history import ListHistory, read_listed_since
from verbenahall.peers import is_local_only
from verbenahall.platform import (
    VERSIONS_TOPIC,
    Appended,
    KeyedRecord,
    encode_keyed,
    get_era,
    make_position,
)
from verbenahall.routing import rank_by_rendezvous
from verbenahall.stream_versions import (
    Checkpoint,
    VersionHistory,
    decode_checkpoint,
    encode_checkpoint,
)

#: Pause between two calls to the store, in seconds.
_PAUSE_S: Final = 1.0
#: How old the checkpoint may get after a change of the topic, in seconds. The
#: store keeps a record for some tens of seconds, and what came after the
#: checkpoint has to be kept still.
_RENEW_S: Final = 5.0
#: How long versions stay on record after no stream of theirs can go on, in
#: seconds: an instance that the store does not reach may use an endpoint for
#: longer than it is listed.
_MARGIN_S: Final = 30.0
#: Data centres whose followers write, in a fleet in which only the instances of
#: one data centre exchange heartbeats.
_CENTRES: Final = 2
_DUTY: Final = 'versions'
_KEY: Final = 'checkpoint'
#: The era of a store that has never returned from an older copy.
_FIRST_ERA: Final = 1


@final
class StoredVersions:
    """Reads the versions on record once, and keeps the record up to date.

    ``get_position`` returns the position up to which this instance has read
    the endpoints' topic, None unless it follows the topic at the store.
    """

    __slots__ = (
        '_core',
        '_get_position',
        '_has_read',
        '_next_call_at',
        '_written',
        '_written_at',
    )

    def __init__(
        self, core: Core, get_position: Callable[[], int | None]
    ) -> None:
        """Start without knowing any record."""
        self._core = core
        self._get_position = get_position
        self._has_read = False
        self._next_call_at = -math.inf
        #: The checkpoint that this instance wrote last, and when.
        self._written = Checkpoint(0, {})
        self._written_at = -math.inf

    async def exchange(
        self, history: VersionHistory, life_s: float | None, now: float
    ) -> None:
        """Read what is on record, and write what is new.

        ``life_s`` is how long streams may be taken up, None if it is unknown.
        """
        if now < self._next_call_at or not self._core.roster.is_loaded:
            return
        if not self._has_read:
            self._next_call_at = now + _PAUSE_S
            await self._read(history)
            return
        position = self._get_position()
        if life_s is None or position is None or not self._is_writer():
            return
        if history.since > now - life_s:
            # What served before is not known.
            return
        checkpoint = Checkpoint(
            position, history.list_ages(now - life_s - _MARGIN_S, now)
        )
        if self._is_due(checkpoint, now):
            self._next_call_at = now + _PAUSE_S
            await self._write(checkpoint, now)

    def _is_writer(self) -> bool:
        """Whether followers of this data centre write the checkpoint."""
        table = self._core.peer_table
        if not is_local_only(table):
            return True
        centres = {one.data_centre for one in table.peers.values()}
        ranked = rank_by_rendezvous(_DUTY, {*centres, table.data_centre})
        return table.data_centre in ranked[:_CENTRES]

    def _is_due(self, checkpoint: Checkpoint, now: float) -> bool:
        written = self._written
        if checkpoint.list_versions() != written.list_versions():
            return True
        if get_era(checkpoint.position) != get_era(written.position):
            return True
        is_behind = checkpoint.position > written.position
        return is_behind and now - self._written_at >= _RENEW_S

    async def _write(self, checkpoint: Checkpoint, now: float) -> None:
        record = KeyedRecord(_KEY, encode_checkpoint(checkpoint))
        outcome = await self._core.store.append(
            VERSIONS_TOPIC, [encode_keyed(record)]
        )
        if isinstance(outcome, Appended):
            self._written = checkpoint
            self._written_at = now

    async def _read(self, history: VersionHistory) -> None:
        newest = await self._core.store.read_newest(VERSIONS_TOPIC)
        if not isinstance(newest, Success):
            return
        checkpoint = self._find_checkpoint(newest.unwrap().items)
        now = self._core.now()
        for service, ages in checkpoint.ages.items():
            for version, age_s in ages.items():
                history.record(service, version, now - age_s)
        known = await read_listed_since(
            self._core.store, checkpoint.position, history, now
        )
        self._has_read = known is not ListHistory.UNAVAILABLE
        if known is ListHistory.COMPLETE:
            history.assume_past()
        journal.write_decision(
            'versions_read',
            position=checkpoint.position,
            versions=sorted(checkpoint.list_versions()),
            since=known.value,
        )

    def _find_checkpoint(self, items: Mapping[str, bytes]) -> Checkpoint:
        """Return the checkpoint on record, or that before the first record.

        The topic can be read from its first record if the store has deleted
        none. What was lost in a return of the store can't be read.
        """
        found = decode_checkpoint(items.get(_KEY, b''))
        if _KEY in items and found is Nothing:
            journal.write_decision('versions_unreadable')
        era = min(self._core.store.era.current, _FIRST_ERA)
        return found.value_or(Checkpoint(make_position(era, 0), {}))
