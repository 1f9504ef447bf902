"""The versions at which streams began, as one instance keeps them."""

import dataclasses
from collections.abc import Iterator
from typing import Final, final

#: Most records that are kept, which takes about five megabytes.
_MAX_RECORDS: Final = 16_384


@dataclasses.dataclass(slots=True)
class StreamRecord:
    """The version at which a stream of a service began.

    ``began_at`` is in monotonic seconds. ``is_replicated`` is whether the
    owners of its key have it: this instance has sent it to them, or received
    it as one.
    """

    service: str
    version: str
    began_at: float
    is_replicated: bool


@final
class StreamRecords:
    """Records of streams by their key, the oldest first."""

    __slots__ = ('_records',)

    def __init__(self) -> None:
        """Start empty."""
        self._records: dict[str, StreamRecord] = {}

    def add(self, key: str, record: StreamRecord) -> None:
        """Add a record; the oldest one is dropped if there are too many.

        A record that is known stays: a stream has one beginning.
        """
        if key in self._records:
            return
        self._records[key] = record
        if len(self._records) > _MAX_RECORDS:
            self._records.pop(next(iter(self._records)))

    def find(self, key: str) -> StreamRecord | None:
        """Return the record of a stream, if it is known."""
        return self._records.get(key)

    def list_unreplicated(self) -> Iterator[tuple[str, StreamRecord]]:
        """Yield the records that no other instance knows, with their keys."""
        for key, record in self._records.items():
            if not record.is_replicated:
                yield key, record

    def forget(self, before: float) -> None:
        """Forget the streams that began before a time."""
        for key, record in tuple(self._records.items()):
            if record.began_at < before:
                self._records.pop(key)
