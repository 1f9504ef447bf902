"""Load reports of endpoints, and the estimates based on them."""

import dataclasses
import re
from typing import Final

#: Running and queued requests, free share of the KV cache. The numbers of
#: digits are bounded because endpoints may send any text.
_REPORT: Final = re.compile(r'(\d{1,9}),(\d{1,9}),(\d{1,3}(?:\.\d{1,20})?)')


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The load that an endpoint reports: running and queued requests.

    ``kv_free_share`` is the free share of its KV cache, from 0 to 1.
    """

    running: int
    queued: int
    kv_free_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """The estimated load of an endpoint in typical requests.

    ``age_s`` is the age of its last report, infinite if there is none.
    """

    load: float
    age_s: float


def parse_report(text: str) -> Report | None:
    """Parse an ``X-Load`` header; return None if it is malformed."""
    parts = _REPORT.fullmatch(text)
    if parts is None:
        return None
    return Report(
        running=int(parts.group(1)),
        queued=int(parts.group(2)),
        kv_free_share=min(1, float(parts.group(3))),
    )
