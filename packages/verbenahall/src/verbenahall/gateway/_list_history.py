"""Reads which software versions were listed since a position of the topic."""

import enum
from typing import final

from returns.maybe import Some
from returns.result import Success

from verbenahall.platform import (
    ENDPOINTS_TOPIC,
    Deleted,
    Returned,
    StoreClient,
    decode_entry,
    decode_keyed,
)
from verbenahall.stream_versions import VersionHistory


@final
class ListHistory(enum.Enum):
    """What is known of the endpoints' topic since a position."""

    COMPLETE = 'complete'
    #: The store has deleted records, or has returned from an older copy.
    DELETED = 'deleted'
    UNAVAILABLE = 'unavailable'


async def read_listed_since(
    store: StoreClient, start: int, history: VersionHistory, now: float
) -> ListHistory:
    """Record each version that an entry has had since a position.

    ``now`` is recorded as the time at which it served last: the records don't
    tell it.
    """
    position = start
    while True:
        found = await store.read(ENDPOINTS_TOPIC, position)
        if not isinstance(found, Success):
            return _describe_failure(found.failure())
        batch = found.unwrap()
        for record in batch.records:
            _record_entry(record, history, now)
        position += len(batch.records)
        if not batch.records or position >= batch.end:
            return ListHistory.COMPLETE


def _describe_failure(failure: object) -> ListHistory:
    match failure:
        case Deleted() | Returned():
            return ListHistory.DELETED
        case _:
            return ListHistory.UNAVAILABLE


def _record_entry(record: bytes, history: VersionHistory, now: float) -> None:
    try:
        decoded = decode_keyed(record)
    except ValueError:
        # No instance has sent to an endpoint without a readable entry; the
        # follower of the topic logs the record.
        return
    found = decode_entry(decoded.key, decoded.content)
    if isinstance(found, Some):
        entry = found.unwrap()
        history.record(entry.service, entry.version, now)
