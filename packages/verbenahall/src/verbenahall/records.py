"""Records of the platform's log and the names of its streams."""

import dataclasses
from typing import Any, Final

#: Streams of the log; offsets are ordered across all streams.
SETTINGS_STREAM: Final = 'settings'
AUTHORITY_STREAM: Final = 'authority'
ORDERS_STREAM: Final = 'orders'
SNAPSHOTS_STREAM: Final = 'snapshots'
#: One short record after each complete snapshot, so that readers can detect a
#: snapshot without reading it.
MARKS_STREAM: Final = 'marks'
CLAIMS_STREAM: Final = 'claims'


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record; ``offset`` starts at 1 and is never reused.

    ``identity`` is chosen by the appender. A second record with the same
    identity is a repeated append, sent because the answer to the first was
    lost. ``body`` is decoded JSON.
    """

    offset: int
    stream: str
    identity: str
    body: dict[str, Any]
