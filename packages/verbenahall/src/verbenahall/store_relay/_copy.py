"""A topic's newest records by key, and its last records by position."""

import collections
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final, final

from verbenahall import journal
from verbenahall.platform import KeyedRecord, decode_keyed, encode_keyed

#: Limits of the last records that are kept, as their number and bytes. They
#: cover some seconds of changes of a large fleet; a peer that misses more gets
#: the whole topic.
_MAX_RECORDS: Final = 512
_MAX_BYTES: Final = 1_048_576


@final
class TopicCopy:
    """What an instance can send of a topic to a peer.

    ``end`` is the position after the last record, None before the first whole
    read, and ``first`` that of the first record that is still kept.
    ``highest_end`` is the highest ``end`` so far: a state of a peer that goes
    less far would make the topic older.
    """

    __slots__ = (
        'end',
        'highest_end',
        '_items',
        '_recent',
        '_recent_bytes',
    )

    def __init__(self) -> None:
        """Start without a record."""
        self.end: int | None = None
        self.highest_end = 0
        self._items: dict[str, bytes] = {}
        self._recent: collections.deque[bytes] = collections.deque()
        self._recent_bytes = 0

    @property
    def items(self) -> Mapping[str, bytes]:
        """The newest content of each key."""
        return MappingProxyType(self._items)

    @property
    def first(self) -> int:
        """Position of the first kept record."""
        return (self.end or 0) - len(self._recent)

    def replace(self, items: Mapping[str, bytes], end: int) -> None:
        """Replace the content by a whole topic that is complete at ``end``."""
        self._items = dict(items)
        self._recent.clear()
        self._recent_bytes = 0
        self.end = end
        self.highest_end = max(self.highest_end, end)

    def discard(self) -> None:
        """Discard the content after records were lost that were not read."""
        self.replace({}, 0)
        self.end = None

    def append(self, record: bytes, decoded: KeyedRecord | None) -> None:
        """Add the next record; ``decoded`` is None if it is unreadable."""
        if self.end is None:
            return
        self.end += 1
        self.highest_end = max(self.highest_end, self.end)
        self._recent.append(record)
        self._recent_bytes += len(record)
        if decoded is not None:
            self._items.pop(decoded.key, None)
            if decoded.content:
                self._items[decoded.key] = decoded.content
        while (
            len(self._recent) > _MAX_RECORDS or self._recent_bytes > _MAX_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft())

    def list_from(self, offset: int) -> Sequence[bytes]:
        """Return the records from a position on, at least from ``first``."""
        return tuple(self._recent)[offset - self.first :]

    def list_all(self) -> Sequence[bytes]:
        """Return the newest record of each key."""
        return tuple(
            encode_keyed(KeyedRecord(key, content))
            for key, content in self._items.items()
        )


def decode_record(topic: str, record: bytes) -> KeyedRecord | None:
    """Decode a record of a topic; None if it is unreadable, which is logged."""
    try:
        return decode_keyed(record)
    except ValueError as error:
        journal.write_decision(
            'record_unreadable',
            topic=topic,
            reason=str(error),
        )
    return None


def decode_items(topic: str, records: Sequence[bytes]) -> Mapping[str, bytes]:
    """Decode the records of a whole topic, and return the content by key."""
    decoded = (decode_record(topic, record) for record in records)
    return {one.key: one.content for one in decoded if one is not None}
