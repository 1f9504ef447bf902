"""Records of the platform's log, as every slice sees them."""

import dataclasses
from typing import Any, Final

#: Streams of the log. Offsets are one total order over all of them.
SETTINGS_STREAM: Final = 'settings'
AUTHORITY_STREAM: Final = 'authority'
ORDERS_STREAM: Final = 'orders'
SNAPSHOTS_STREAM: Final = 'snapshots'
#: One short record after each whole snapshot, so that readers need not read
#: the snapshots themselves to know that there is one.
MARKS_STREAM: Final = 'marks'
CLAIMS_STREAM: Final = 'claims'


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record: ``offset`` counts from 1 and is never used again.

    ``identity`` is the appender's own; a second copy under the same identity
    is the same append whose first answer was lost. ``body`` is decoded JSON.
    """

    offset: int
    stream: str
    identity: str
    body: dict[str, Any]
