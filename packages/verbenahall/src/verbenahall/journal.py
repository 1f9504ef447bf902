"""The decision log: one JSON line for each routing or placement decision.

Each line has ``event``, ``at`` and the fields of that event::

    write_decision('route', request='r-1', chosen='engine-3', load=2.5)

Values are JSON-encoded, so that text from a caller can neither start a new
line nor add a field.
"""

import collections
import logging as std_logging
from typing import Any, Final

from absl import flags, logging

from verbenahall import clock, lines, metrics, wire

_MAX_RECENT: Final = 4096
_TIME_DIGITS: Final = 3
#: Bytes of a line above which its texts are cut: they may come from a caller,
#: and the latest lines are kept.
_MAX_LINE_BYTES: Final = 1024
_MAX_TEXT_CHARS: Final = 256
#: Format of decision lines; the formatter recognizes them by this object.
_DECISION: Final = '%s'

#: Latest decisions of this process, for ``/admin/v1/explain``.
recent: collections.deque[dict[str, Any]] = collections.deque(
    maxlen=_MAX_RECENT,
)


def write_decision(event: str, **fields: Any) -> None:
    """Write a decision line and keep the decision for ``explain``."""
    line = {'event': event, 'at': round(clock.wall(), _TIME_DIGITS), **fields}
    encoded = wire.encode_line(line)
    if len(encoded) > _MAX_LINE_BYTES:
        metrics.CLIENT_LIMITS.add('log_text')
        line = {name: _shorten(found) for name, found in line.items()}
        encoded = wire.encode_line(line)
    recent.append(line)
    if _sinks:
        _sinks[0].add(encoded)
    elif logging.get_verbosity() >= logging.INFO:
        _emit(encoded.decode())


def _shorten(found: Any) -> Any:
    """Return a field of a line, a long text cut."""
    return found[:_MAX_TEXT_CHARS] if isinstance(found, str) else found


#: At most one sink; if set, decisions go there instead of the logger.
_sinks: Final[list[lines.LineSink]] = []


def log_to_stdout() -> None:
    """Write decisions to standard output without blocking."""
    _sinks.append(lines.open_stdout())


def flush() -> None:
    """Write buffered lines; to be called several times a second."""
    for sink in _sinks:
        sink.flush()


def _emit(text: str) -> None:
    """Pass a line to the logger without looking up the calling function.

    The lookup walks the stack, which is too slow for a line in each request.
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


def round_to_ms(seconds: float) -> float:
    """Round seconds to thousandths, as log lines show them."""
    return round(seconds, _TIME_DIGITS)


def find_decisions(field: str, wanted: str) -> list[dict[str, Any]]:
    """Return recent decisions with ``field == wanted``, oldest first."""
    return [line for line in recent if line.get(field) == wanted]


def start_logging(*, decisions: bool = True) -> None:
    """Write the log to standard error, one JSON object a line.

    Without ``decisions`` only warnings and errors are written. The latest
    decisions are kept for ``explain`` in both cases.
    """
    # absl expects its own flags to be parsed; cleo parses the command line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_JsonFormatter())
    logging.set_verbosity(logging.INFO if decisions else logging.WARNING)
    std_logging.getLogger('aiohttp.access').disabled = True


class _JsonFormatter(std_logging.Formatter):
    """Passes decision lines through and wraps other lines in JSON."""

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
        return wire.encode_line(line).decode()
