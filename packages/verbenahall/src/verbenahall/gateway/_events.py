"""Splits a stream into events and drops those that were relayed before."""

import dataclasses
import re
from typing import Final, final

from verbenahall.platform import BodyTooLargeError, read_event_number

#: A blank line ends an event; lines end with LF or CRLF.
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
#: Longest event, in bytes; a piece of the stream may have more.
_MAX_EVENT_BYTES: Final = 65_536
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
    first. ``version`` is the software version of the engines whose events the
    stream holds, None while it holds none.
    """

    __slots__ = ('last', 'version')

    def __init__(self, last: int | None) -> None:
        """Start after event ``last``, which the caller has received."""
        self.last = last
        self.version: str | None = None

    def begin(self, version: str | None) -> bool:
        """Keep the version of the first events; False if one is known.

        None is an unknown version.
        """
        is_first = self.version is None
        if is_first:
            self.version = version
        return is_first


@final
class EventReader:
    """Reads the events of one engine's stream.

    Incomplete events are held back in ``partial``: if an engine fails inside
    one, the bytes sent so far would be joined with the stream of the engine
    that resumes.
    """

    __slots__ = ('partial', '_state')

    def __init__(self, state: EventState) -> None:
        """Go on from the position of the stream."""
        self.partial = b''
        self._state = state

    def feed(self, piece: bytes) -> NewEvents:
        """Return the events that ``piece`` completes and that are new.

        Raises ``BodyTooLargeError`` if an event does not end.
        """
        buffer = self.partial + piece
        data: list[bytes] = []
        start = 0
        for end in _EVENT_END.finditer(buffer):
            event = buffer[start : end.end()]
            start = end.end()
            if _is_new(self._state, event):
                data.append(event)
        self.partial = buffer[start:]
        if len(self.partial) > _MAX_EVENT_BYTES:
            raise BodyTooLargeError(f'an event of {len(self.partial)} bytes')
        return NewEvents(b''.join(data), len(data))


def _is_new(state: EventState, event: bytes) -> bool:
    id_line = _EVENT_ID.search(event)
    number = read_event_number(id_line.group(1).decode()) if id_line else None
    if number is None:
        return True
    if state.last is not None and number <= state.last:
        return False
    state.last = number
    return True
