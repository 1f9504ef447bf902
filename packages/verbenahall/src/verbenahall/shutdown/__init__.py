"""The phases of a graceful stop."""

from verbenahall.shutdown._decisions import decide
from verbenahall.shutdown._messages import (
    DEFAULT_TIMING,
    Effect,
    HandedOver,
    Phase,
    StopRequested,
    StopTiming,
    Tick,
)
from verbenahall.shutdown._open_requests import CUT_MESSAGE, may_answer
from verbenahall.shutdown._run_times import RunTimes
from verbenahall.shutdown._shell import GracefulStop, StopHooks
from verbenahall.shutdown._state import ShutdownState

__all__ = (
    'CUT_MESSAGE',
    'DEFAULT_TIMING',
    'Effect',
    'GracefulStop',
    'HandedOver',
    'Phase',
    'RunTimes',
    'ShutdownState',
    'StopHooks',
    'StopRequested',
    'StopTiming',
    'Tick',
    'decide',
    'may_answer',
)
