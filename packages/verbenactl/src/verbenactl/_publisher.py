"""Reads settings from the log, publishes changes and finds their verdicts."""

from collections.abc import Sequence
from typing import Any, Final, TypeVar

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem, ProblemError
from verbenahall.log import LogClient
from verbenahall.records import SETTINGS_STREAM, Record
from verbenahall.settings import (
    Change,
    Publication,
    SettingsFold,
    SettingsState,
    Verdict,
    apply_record,
    encode_publication,
)
from verbenahall.snapshots import FoldSet, Snapshot, SnapshotStore

#: Records per read of the log.
_PAGE_SIZE: Final = 500

_RECORDS_EXPIRED: Final = Problem(
    ErrorKind.LOG_UNAVAILABLE,
    'no valid snapshot contains all of the expired records',
)

_Value = TypeVar('_Value')


class Publisher:
    """Reads and publishes settings on behalf of an author.

    ``state`` holds the settings up to the last record that was read.
    """

    __slots__ = ('state', 'team', '_author', '_client', '_position')

    def __init__(self, client: LogClient, team: str, author: str) -> None:
        """Create a publisher for ``author`` of ``team``."""
        self.state = SettingsState()
        self._position = 0
        self._client = client
        self.team = team
        self._author = author

    async def start(self) -> Result[None, Problem]:
        """Load the newest snapshot, then apply the log up to its end."""
        store = SnapshotStore(self._client)
        loaded = await store.apply_newest(0, self._load_snapshot)
        if isinstance(loaded, Failure):
            return loaded
        return await self.catch_up()

    async def catch_up(self) -> Result[None, Problem]:
        """Apply the records from the last position to the log's end."""
        while True:
            read = await self._client.read(
                self._position,
                _PAGE_SIZE,
                0,
                (SETTINGS_STREAM,),
            )
            if isinstance(read, Failure):
                return read
            page = read.unwrap()
            if page.first > self._position + 1:
                return Failure(_RECORDS_EXPIRED)
            for record in page.records:
                apply_record(self.state, record)
            if len(page.records) < _PAGE_SIZE:
                self._position = max(self._position, page.last)
                return Success(None)
            self._position = page.records[-1].offset

    async def publish(
        self,
        changes: Sequence[Change],
    ) -> Result[Verdict, Problem]:
        """Append one record with the changes and return its verdict."""
        appended = await self._client.append(
            SETTINGS_STREAM,
            self._encode(changes),
        )
        if isinstance(appended, Failure):
            return appended
        offset = appended.unwrap()
        caught_up = await self.catch_up()
        if isinstance(caught_up, Failure):
            return caught_up
        return self._find_verdict(offset)

    def predict_verdict(self, changes: Sequence[Change]) -> Verdict:
        """Return the verdict that the changes would get now.

        This applies them to ``state``, so the publisher must not be used
        afterwards.
        """
        offset = self.state.position + 1
        record = Record(offset, SETTINGS_STREAM, '', self._encode(changes))
        apply_record(self.state, record)
        return unwrap_or_raise(self._find_verdict(offset))

    def _load_snapshot(self, snapshot: Snapshot) -> Result[None, Problem]:
        fold = SettingsFold(self.state)
        self._position = snapshot.upto
        return FoldSet([fold]).load(snapshot)

    def _encode(self, changes: Sequence[Change]) -> dict[str, Any]:
        publication = Publication(self.team, self._author, tuple(changes))
        return encode_publication(publication)

    def _find_verdict(self, offset: int) -> Result[Verdict, Problem]:
        for verdict in self.state.history:
            if verdict.offset == offset:
                return Success(verdict)
        return Failure(
            Problem(
                ErrorKind.LOG_UNAVAILABLE,
                f'appended at offset {offset}, but not found there',
            ),
        )


def unwrap_or_raise(outcome: Result[_Value, Problem]) -> _Value:
    """Return the value, or raise the problem as ``ProblemError``."""
    if isinstance(outcome, Failure):
        raise ProblemError(outcome.failure())
    return outcome.unwrap()
