"""The phases as a table: what ends each one, and what follows."""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from verbenahall.shutdown._messages import (
    Effect,
    HandedOver,
    Message,
    Phase,
    StopAsked,
    Tick,
)
from verbenahall.shutdown._state import ShutdownState

_Ends = Callable[[ShutdownState, Message, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    """When a phase ends, the next phase, and the effects of entering it."""

    ends: _Ends
    following: Phase
    effects: tuple[Effect, ...]


def _asked(state: ShutdownState, message: Message, now: float) -> bool:
    return isinstance(message, StopAsked)


def _noticed(state: ShutdownState, message: Message, now: float) -> bool:
    notice_s = min(state.timing.notice_s, state.timing.grace_s / 2)
    return now - state.entered_at >= notice_s


def _lingered(state: ShutdownState, message: Message, now: float) -> bool:
    return now - state.entered_at >= state.timing.linger_s or _is_late(
        state,
        now,
    )


def _finished(state: ShutdownState, message: Message, now: float) -> bool:
    if _is_late(state, now):
        return True
    return isinstance(message, Tick) and not message.in_flight


def _handed_over(state: ShutdownState, message: Message, now: float) -> bool:
    if isinstance(message, HandedOver):
        return True
    return now - state.entered_at >= state.timing.hand_over_s


def _is_late(state: ShutdownState, now: float) -> bool:
    asked_at = state.asked_at
    return asked_at is not None and now - asked_at >= state.timing.grace_s


#: A stop that is asked for twice has no row to act on: nothing is cut
#: because the platform repeats itself.
_TABLE: Final[Mapping[Phase, _Row]] = MappingProxyType(
    {
        Phase.SERVING: _Row(
            _asked,
            Phase.NOT_READY,
            (Effect.ANNOUNCE_LEAVING,),
        ),
        Phase.NOT_READY: _Row(
            _noticed,
            Phase.REFUSING,
            (Effect.CLOSE_LISTENERS,),
        ),
        Phase.REFUSING: _Row(_lingered, Phase.FINISHING, ()),
        Phase.FINISHING: _Row(
            _finished,
            Phase.HANDING_OVER,
            (Effect.CUT_REMAINING, Effect.HAND_OVER),
        ),
        Phase.HANDING_OVER: _Row(_handed_over, Phase.GONE, ()),
    },
)


def decide(
    state: ShutdownState,
    message: Message,
    now: float,
) -> tuple[Effect, ...]:
    """Move to the next phase if this one has ended; return its effects."""
    row = _TABLE.get(state.phase)
    if row is None or not row.ends(state, message, now):
        return ()
    if state.phase is Phase.SERVING:
        state.asked_at = now
    state.phase = row.following
    state.entered_at = now
    return row.effects
