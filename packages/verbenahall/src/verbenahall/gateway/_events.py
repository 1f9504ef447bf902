"""Splits a stream into events and drops those that were relayed before."""

import dataclasses
import re
from typing import Final, final

from verbenahall.platform import read_event_number

#: A blank line ends an event; lines end with LF or CRLF.
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
_EVENT_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class NewEvents:
    """Events to relay: their bytes and their number."""

    data: bytes
    events: int


@final
class EventState:
    """Position in a stream.

    ``last`` is the number of the last event that was relayed, None before the
    first; ``partial`` holds the bytes of an event that is not complete yet.
    ``version`` is the software version of the engines whose events the stream
    holds, None while it holds none.
    """

    __slots__ = ('last', 'partial', 'version')

    def __init__(self, last: int | None) -> None:
        """Start after event ``last``, which the caller has received."""
        self.last = last
        self.partial = b''
        self.version: str | None = None

    def begin(self, version: str | None) -> bool:
        """Keep the version of the first events; False if one is known.

        None is an unknown version.
        """
        is_first = self.version is None
        if is_first:
            self.version = version
        return is_first


def feed(state: EventState, piece: bytes) -> NewEvents:
    """Return the events that are completed by ``piece`` and not repeated.

    Incomplete events are held back: if an engine fails inside one, the bytes
    sent so far would be joined with the stream of the engine that resumes.
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
    """Drop the incomplete event of a broken stream before it is resumed."""
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
