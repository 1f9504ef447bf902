"""How long an attempt may be silent before another one begins beside it."""

from typing import Final

#: Time without an event after which a stream is hedged, as a multiple of the
#: route's longest gap between events, and its minimum in seconds: callers
#: disconnect after two seconds without an event.
_IDLE_GAPS: Final = 5.0
_MIN_IDLE_S: Final = 1.2
#: Share of the remaining time after which a plain call is hedged: a second
#: endpoint needs the rest.
_PLAIN_SHARE: Final = 0.5


def find_stream_idle_s(gap_s: float) -> float:
    """Return the delay for a stream whose events are ``gap_s`` apart."""
    return max(_MIN_IDLE_S, gap_s * _IDLE_GAPS)


def find_plain_idle_s(left_s: float) -> float:
    """Return the delay for a plain call with ``left_s`` seconds left."""
    return left_s * _PLAIN_SHARE
