"""Splits a stream into whole events and keeps each from coming twice."""

import dataclasses
import re
from typing import Final, final

from verbenahall.platform import read_event_number

#: A blank line ends an event, with either kind of line end.
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class NewEvents:
    """What a piece brought: bytes to pass on, and how many events."""

    data: bytes
    events: int


@final
class EventState:
    """How far a stream has come.

    ``last`` is the number of the last event passed on, None before the
    first; ``partial`` is the beginning of an event that is not whole yet.
    """

    __slots__ = ('last', 'partial')

    def __init__(self, last: int | None) -> None:
        """Go on after event ``last``, which the caller has."""
        self.last = last
        self.partial = b''


def feed(state: EventState, piece: bytes) -> NewEvents:
    """Return the whole events of a stream that are new to the caller.

    An engine may stop in the middle of an event; passed on, the half event
    and the resumed run would be joined into one that nobody has made.
    """
    buffer = state.partial + piece
    data: list[bytes] = []
    start = 0
    for end in _EVENT_END.finditer(buffer):
        event = buffer[start : end.end()]
        start = end.end()
        if _is_new(state, event):
            data.append(event)
    state.partial = buffer[start:]
    return NewEvents(b''.join(data), len(data))


def discard_partial(state: EventState) -> None:
    """Drop the half event of a run that broke, before another one begins."""
    state.partial = b''


def _is_new(state: EventState, event: bytes) -> bool:
    id_line = _EVENT_ID.search(event)
    number = read_event_number(id_line.group(1).decode()) if id_line else None
    if number is None:
        return True
    if state.last is not None and number <= state.last:
        return False
    state.last = number
    return True
