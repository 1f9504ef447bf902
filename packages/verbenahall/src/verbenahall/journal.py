"""The decision log: one JSON line for each routing or placement decision.

A line always has ``event`` and the fields of that event::

    write_decision('route', request='r-1', chosen='engine-3', load=2.5)

Values are JSON-encoded, so nothing that a caller sent can start a new line
or pose as another field.
"""

import collections
import logging as std_logging
from typing import Any, Final

from absl import flags, logging

from verbenahall import clock, lines, wire

_KEPT_DECISIONS: Final = 4096
_TIME_DIGITS: Final = 3
#: The format of decision lines; the formatter knows them by it.
_DECISION: Final = '%s'

#: The latest decisions of this process, for ``/admin/v1/explain``.
recent: collections.deque[dict[str, Any]] = collections.deque(
    maxlen=_KEPT_DECISIONS,
)


def write_decision(event: str, **fields: Any) -> None:
    """Write one decision line and keep it for ``explain``."""
    line = {'event': event, 'at': round(clock.wall(), _TIME_DIGITS), **fields}
    recent.append(line)
    if _sinks:
        _sinks[0].add(wire.encode(line))
        return
    if logging.get_verbosity() >= logging.INFO:
        _emit(wire.encode(line).decode())


#: Where decisions go in place of the library's logger, when there is one.
_sinks: Final[list[lines.LineSink]] = []


def start_stdout() -> None:
    """Write decisions to standard output, without waiting for its reader."""
    _sinks.append(lines.open_stdout())


def flush() -> None:
    """Write the lines that were collected; call it several times a second."""
    for sink in _sinks:
        sink.flush()


def _emit(text: str) -> None:
    """Hand a line to the logger without the search for its caller.

    The search walks the stack for each line, and a line is written for each
    request.
    """
    logger = logging.get_absl_logger()
    record = logger.makeRecord(
        logger.name,
        std_logging.INFO,
        __file__,
        0,
        _DECISION,
        (text,),
        None,
    )
    logger.handle(record)


def round_seconds(seconds: float) -> float:
    """Return seconds as lines tell them, in thousandths."""
    return round(seconds, _TIME_DIGITS)


def find_decisions(field: str, wanted: str) -> list[dict[str, Any]]:
    """Return kept decisions whose ``field`` equals ``wanted``, oldest first."""
    return [line for line in recent if line.get(field) == wanted]


def start_logging(*, decisions: bool = True) -> None:
    """Write the log to standard error, one JSON object a line.

    Without ``decisions`` only warnings and errors are written; the latest
    decisions are kept for ``explain`` all the same.
    """
    # absl expects its own command-line flags, which cleo's take the place of.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_JsonFormatter())
    logging.set_verbosity(logging.INFO if decisions else logging.WARNING)
    std_logging.getLogger('aiohttp.access').disabled = True


class _JsonFormatter(std_logging.Formatter):
    """Renders decision lines as they are and wraps every other line."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return one line of JSON."""
        if record.msg is _DECISION:
            return record.getMessage()
        line = {
            'event': 'log',
            'at': round(record.created, _TIME_DIGITS),
            'level': record.levelname.lower(),
            'module': record.module,
            'message': record.getMessage(),
        }
        if record.exc_info:
            line['trace'] = self.formatException(record.exc_info)
        return wire.encode(line).decode()
