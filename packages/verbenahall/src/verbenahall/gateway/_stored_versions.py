"""Services with several software versions, as instances record in the store.

An instance that was started again has no past of its own, and if all were, none
has: the service may have had another version a moment ago.
"""

import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, final

from returns.result import Success

from verbenahall import journal, wire
from verbenahall.gateway._core import Core
from verbenahall.peers import find_rank
from verbenahall.platform import (
    VERSIONS_TOPIC,
    Appended,
    KeyedRecord,
    encode_keyed,
)
from verbenahall.stream_versions import VersionHistory

#: Pause between two calls to the store, in seconds.
_PAUSE_S: Final = 1.0
#: The duty of recording in the store, and how many instances do so at a time.
_DUTY: Final = 'versions'
_WRITERS: Final = 3

#: The versions of each service that has several.
Several = Mapping[str, Sequence[str]]


@final
class StoredVersions:
    """Writes this instance's record to the store, and reads all once."""

    __slots__ = ('_core', '_next_call_at', '_written', '_written_in')

    def __init__(self, core: Core) -> None:
        """Start without knowing any record."""
        self._core = core
        self._next_call_at = -math.inf
        #: What this instance's record holds, None while that is not known.
        self._written: Several | None = None
        #: The era of the store for which it was written.
        self._written_in = 0

    async def exchange(
        self, history: VersionHistory, since: float, now: float
    ) -> None:
        """Read what others had seen, and write what is new since a time.

        A few instances write: any of their records will do.
        """
        if now < self._next_call_at or not self._core.roster.is_loaded:
            return
        if self._written is None:
            self._next_call_at = now + _PAUSE_S
            await self._read(history)
            return
        several = history.list_several(since)
        era = self._core.store.era.latest
        if several == self._written and (
            era == self._written_in or not several
        ):
            return
        rank = find_rank(self._core.peer_table, _DUTY, now)
        if rank < _WRITERS or self._written:
            self._next_call_at = now + _PAUSE_S
            await self._write(several)

    async def _write(self, several: Several) -> None:
        era = self._core.store.era.latest
        record = KeyedRecord(self._core.settings.name, wire.encode(several))
        outcome = await self._core.store.append(
            VERSIONS_TOPIC, [encode_keyed(record)]
        )
        if isinstance(outcome, Appended):
            self._written = several
            self._written_in = max(era, self._core.store.era.current)

    async def _read(self, history: VersionHistory) -> None:
        newest = await self._core.store.read_newest(VERSIONS_TOPIC)
        if not isinstance(newest, Success):
            return
        records = newest.unwrap().items
        for name, content in records.items():
            for service, version in _list_pairs(_decode(name, content)):
                # When it was last seen is not known.
                history.record(service, version, self._core.now())
        history.assume_past()
        own = self._core.settings.name
        self._written = _decode(own, records.get(own, b'{}'))
        self._written_in = self._core.store.era.current


def _decode(name: str, content: bytes) -> Several:
    """Decode a record; one of another form counts as empty."""
    match wire.decode_table(content):
        case Success(table) if all(map(_is_list_of_text, table.values())):
            return table
        case _:
            journal.write_decision('versions_unreadable', peer=name)
            return {}


def _is_list_of_text(found: Any) -> bool:
    return isinstance(found, list) and all(
        isinstance(member, str) for member in found
    )


def _list_pairs(several: Several) -> Iterator[tuple[str, str]]:
    for service, versions in several.items():
        yield from ((service, version) for version in versions)
