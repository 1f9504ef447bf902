"""Checks the events of a stream without decoding each of them.

Engines write the attempt and the index first in each event, so comparing a
prefix of expected bytes is enough for nearly all events. Only an event that
differs is decoded. Only complete events are forwarded, so an engine that dies
within one leaves no partial event with the caller.
"""

import dataclasses
from typing import Final, final

from returns.result import Success

from verbenahall import wire

_EVENT_SEPARATOR: Final = b'\n\n'
_DONE_EVENT: Final = b'data: [DONE]'
_DATA_PREFIX: Final = b'data: '


@final
class StreamState:
    """The position in a stream.

    ``index`` is the next expected token. ``done`` is set by the end marker,
    ``gap`` by a missing token. ``dropped`` counts duplicates, malformed events
    and events of other attempts. ``pending`` holds the bytes of an incomplete
    event.
    """

    __slots__ = ('attempt', 'index', 'done', 'gap', 'dropped', 'pending')

    def __init__(self, attempt: str, index: int = 0) -> None:
        """Start a stream of one attempt at the token ``index``."""
        self.attempt = attempt
        self.index = index
        self.done = False
        self.gap = False
        self.dropped = 0
        self.pending = b''


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStep:
    """The bytes to forward after one chunk, and the tokens in them."""

    forwarded: bytes
    tokens: int


def process_chunk(state: StreamState, chunk: bytes) -> StreamStep:
    """Check the next chunk and return the complete events to forward.

    The end marker is not forwarded: the relay writes it once, after the last
    attempt. Nothing is forwarded after a gap.
    """
    events = (state.pending + chunk).split(_EVENT_SEPARATOR)
    state.pending = events.pop()
    start_index = state.index
    accepted = [event for event in events if _accept_event(state, event)]
    if accepted:
        accepted.append(b'')
    return StreamStep(
        _EVENT_SEPARATOR.join(accepted), state.index - start_index
    )


def _accept_event(state: StreamState, event: bytes) -> bool:
    if state.done or state.gap:
        return False
    prefix = b'data: {"attempt":"%b","index":%d,' % (
        state.attempt.encode(),
        state.index,
    )
    if event.startswith(prefix):
        state.index += 1
        return True
    return _accept_decoded_event(state, event)


def _accept_decoded_event(state: StreamState, event: bytes) -> bool:
    """Decode an event that does not have the expected prefix."""
    if event.strip() == _DONE_EVENT:
        state.done = True
        return False
    match wire.decode_table(event.strip().removeprefix(_DATA_PREFIX)):
        case Success({'attempt': state.attempt, 'index': int(index)}):
            return _accept_index(state, index)
        case _:
            state.dropped += 1
            return False


def _accept_index(state: StreamState, index: int) -> bool:
    if index < state.index:
        # A duplicate, which the caller must not receive again.
        state.dropped += 1
        return False
    if index > state.index:
        # A token is missing. With the later ones forwarded, the caller could
        # not tell that the answer is incomplete.
        state.gap = True
        return False
    state.index += 1
    return True
