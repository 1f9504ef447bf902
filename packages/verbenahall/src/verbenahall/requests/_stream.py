"""A stream of events checked as it passes, without decoding each event.

An engine's events begin with the attempt and the index in this order, so a
comparison with the expected bytes settles nearly every event; only one that
looks otherwise is decoded. What is passed on are whole events, so an engine
that dies inside one leaves no half event with the caller.
"""

import dataclasses
from typing import Final, final

from returns.result import Success

from verbenahall import wire

_END: Final = b'\n\n'
_DONE: Final = b'data: [DONE]'
_DATA: Final = b'data: '


@final
class StreamState:
    """How far a stream has come.

    ``index`` is the next token expected; ``done`` is set by the end mark,
    ``gap`` by a token that was left out. ``dropped`` counts events of other
    attempts and second copies.
    """

    __slots__ = ('attempt', 'index', 'done', 'gap', 'dropped', 'tail')

    def __init__(self, attempt: str, index: int = 0) -> None:
        """Expect the events of an attempt from an index on."""
        self.attempt = attempt
        self.index = index
        self.done = False
        self.gap = False
        self.dropped = 0
        self.tail = b''


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStep:
    """What a piece of a stream brought: bytes to pass on, tokens in them."""

    passed: bytes
    tokens: int


def feed(state: StreamState, piece: bytes) -> StreamStep:
    """Check the next piece and return the whole events to pass on.

    The end mark is not passed on: the shell sends it once, after the last
    attempt. Nothing is passed on after a gap.
    """
    events = (state.tail + piece).split(_END)
    state.tail = events.pop()
    before = state.index
    passed = [event for event in events if _take(state, event)]
    if passed:
        passed.append(b'')
    return StreamStep(_END.join(passed), state.index - before)


def _take(state: StreamState, event: bytes) -> bool:
    if state.done or state.gap:
        return False
    prefix = b'data: {"attempt":"%b","index":%d,' % (
        state.attempt.encode(),
        state.index,
    )
    if event.startswith(prefix):
        state.index += 1
        return True
    return _take_unusual(state, event)


def _take_unusual(state: StreamState, event: bytes) -> bool:
    """Decode an event that is not the plain next one."""
    if event.strip() == _DONE:
        state.done = True
        return False
    match wire.decode_table(event.strip().removeprefix(_DATA)):
        case Success({'attempt': state.attempt, 'index': int(index)}):
            return _take_index(state, index)
        case _:
            state.dropped += 1
            return False


def _take_index(state: StreamState, index: int) -> bool:
    if index < state.index:
        # A second copy of a token would be shown to the caller twice.
        state.dropped += 1
        return False
    if index > state.index:
        # A token was lost. Passed on, the answer would read as whole.
        state.gap = True
        return False
    state.index += 1
    return True
