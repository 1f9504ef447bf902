"""Reports of endpoints about their load, and beliefs drawn from them."""

import dataclasses
import re
from typing import Final

#: Running, queued, free share; bounded, as endpoints may send anything.
_REPORT: Final = re.compile(r'(\d{1,9}),(\d{1,9}),(\d{1,3}(?:\.\d{1,20})?)')


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an endpoint last said: requests running and queued.

    ``kv_free_share`` is the free share of its KV cache, 0 to 1.
    """

    running: int
    queued: int
    kv_free_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """Believed load in typical requests, and the report's age in seconds.

    The age is infinite where no report was ever heard.
    """

    load: float
    age_s: float


def parse_report(text: str) -> Report | None:
    """Read an ``X-Load`` header; a malformed one counts as none."""
    parts = _REPORT.fullmatch(text)
    if parts is None:
        return None
    return Report(
        running=int(parts.group(1)),
        queued=int(parts.group(2)),
        kv_free_share=min(1, float(parts.group(3))),
    )
