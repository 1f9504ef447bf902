"""What is believed of each endpoint's load, and how old that is."""

from verbenahall.load._decisions import (
    believe,
    note_failed,
    note_finished,
    note_sent,
    observe_report,
    weigh,
)
from verbenahall.load._engines import (
    EngineState,
    EngineStates,
    read_engine_state,
)
from verbenahall.load._messages import Belief, Report, parse_report
from verbenahall.load._shell import StatePoller
from verbenahall.load._state import LoadState

__all__ = (
    'Belief',
    'EngineState',
    'EngineStates',
    'LoadState',
    'Report',
    'StatePoller',
    'believe',
    'note_failed',
    'note_finished',
    'note_sent',
    'observe_report',
    'parse_report',
    'read_engine_state',
    'weigh',
)
