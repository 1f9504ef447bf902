"""The decision log: one JSON line for each routing or placement decision.

A line always has ``event`` and the fields of that event::

    write_decision('route', request='r-1', chosen='engine-3', load=2.5)

Values are JSON-encoded, so nothing that a caller sent can start a new line
or pose as another field.
"""

import collections
import logging as std_logging
from typing import Any, Final

from absl import logging

from verbenahall import clock, wire

_KEPT_DECISIONS: Final = 4096

#: The latest decisions of this process, for ``/admin/v1/explain``.
recent: collections.deque[dict[str, Any]] = collections.deque(
    maxlen=_KEPT_DECISIONS,
)


def write_decision(event: str, **fields: Any) -> None:
    """Write one decision line and keep it for ``explain``."""
    line = {'event': event, 'at': round(clock.wall(), 3), **fields}
    recent.append(line)
    if logging.get_verbosity() >= logging.INFO:
        logging.info('%s', wire.encode(line).decode())


def find_decisions(field: str, wanted: str) -> list[dict[str, Any]]:
    """Return kept decisions whose ``field`` equals ``wanted``, oldest first."""
    return [line for line in recent if line.get(field) == wanted]


def start_logging(*, quiet: bool = False) -> None:
    """Send absl's log to standard error, without its own flags."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.WARNING if quiet else logging.INFO)
    std_logging.getLogger('aiohttp.access').disabled = True
