"""Splits a stream into whole events and keeps each from coming twice."""

import dataclasses
import re
from typing import Final, final

from verbenahall.platform import read_event_number

#: A blank line ends an event, with either kind of line end.
_END: Final = re.compile(rb'\r?\n\r?\n')
_NUMBER: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class EventStep:
    """What a piece brought: bytes to pass on, and how many events."""

    passed: bytes
    events: int


@final
class EventState:
    """How far a stream has come.

    ``last`` is the number of the last event passed on, None before the
    first; ``tail`` is the beginning of an event that is not whole yet.
    """

    __slots__ = ('last', 'tail')

    def __init__(self, last: int | None) -> None:
        """Go on after event ``last``, which the caller has."""
        self.last = last
        self.tail = b''


def feed(state: EventState, piece: bytes) -> EventStep:
    """Return the whole events of a stream that are new to the caller.

    An engine may stop in the middle of an event; passed on, the half event
    and the resumed run would be joined into one that nobody has made.
    """
    pieces = state.tail + piece
    passed: list[bytes] = []
    start = 0
    for end in _END.finditer(pieces):
        event = pieces[start : end.end()]
        start = end.end()
        if _is_new(state, event):
            passed.append(event)
    state.tail = pieces[start:]
    return EventStep(b''.join(passed), len(passed))


def restart(state: EventState) -> None:
    """Drop the half event of a run that broke, before another one begins."""
    state.tail = b''


def _is_new(state: EventState, event: bytes) -> bool:
    found = _NUMBER.search(event)
    number = read_event_number(found.group(1).decode()) if found else None
    if number is None:
        return True
    if state.last is not None and number <= state.last:
        return False
    state.last = number
    return True
