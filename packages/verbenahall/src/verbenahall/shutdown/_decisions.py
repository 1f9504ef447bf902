"""The table of phases: what ends each one, and which one follows."""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from verbenahall.shutdown._messages import (
    Effect,
    HandedOver,
    Message,
    Phase,
    StopRequested,
    Tick,
)
from verbenahall.shutdown._state import ShutdownState

_EndCondition = Callable[[ShutdownState, Message, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    """A phase's end condition, its next phase, and that phase's effects."""

    has_ended: _EndCondition
    next_phase: Phase
    effects: tuple[Effect, ...]


def _stop_requested(state: ShutdownState, message: Message, now: float) -> bool:
    return isinstance(message, StopRequested)


def _notice_ended(state: ShutdownState, message: Message, now: float) -> bool:
    notice_s = min(state.timing.notice_s, state.timing.grace_s / 2)
    return now - state.entered_at >= notice_s


def _linger_ended(state: ShutdownState, message: Message, now: float) -> bool:
    return now - state.entered_at >= state.timing.linger_s or _is_grace_over(
        state,
        now,
    )


def _requests_finished(
    state: ShutdownState, message: Message, now: float
) -> bool:
    if _is_grace_over(state, now):
        return True
    return isinstance(message, Tick) and not message.in_flight


def _hand_over_ended(
    state: ShutdownState, message: Message, now: float
) -> bool:
    if isinstance(message, HandedOver):
        return True
    return now - state.entered_at >= state.timing.hand_over_s


def _is_grace_over(state: ShutdownState, now: float) -> bool:
    requested_at = state.requested_at
    return (
        requested_at is not None and now - requested_at >= state.timing.grace_s
    )


#: A second stop request has no effect, since no later phase ends on it: a
#: repeated signal of the platform must not cut off requests.
_TABLE: Final[Mapping[Phase, _Row]] = MappingProxyType(
    {
        Phase.SERVING: _Row(
            _stop_requested,
            Phase.NOT_READY,
            (Effect.ANNOUNCE_LEAVING,),
        ),
        Phase.NOT_READY: _Row(
            _notice_ended,
            Phase.REFUSING,
            (Effect.CLOSE_LISTENERS,),
        ),
        Phase.REFUSING: _Row(_linger_ended, Phase.FINISHING, ()),
        Phase.FINISHING: _Row(
            _requests_finished,
            Phase.HANDING_OVER,
            (Effect.CUT_REMAINING, Effect.HAND_OVER),
        ),
        Phase.HANDING_OVER: _Row(_hand_over_ended, Phase.GONE, ()),
    },
)


def decide(
    state: ShutdownState,
    message: Message,
    now: float,
) -> tuple[Effect, ...]:
    """Enter the next phase if this one has ended; return its effects."""
    row = _TABLE.get(state.phase)
    if row is None or not row.has_ended(state, message, now):
        return ()
    if isinstance(message, StopRequested):
        state.requested_at = now if message.at is None else message.at
    state.phase = row.next_phase
    state.entered_at = now
    return row.effects
