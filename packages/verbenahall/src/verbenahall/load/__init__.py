"""Estimates the load of each endpoint from reports and open requests."""

from verbenahall.load._decisions import (
    compute_load_cost,
    estimate_load,
    record_failure,
    record_finished,
    record_report,
    record_sent,
)
from verbenahall.load._engines import (
    EngineState,
    EngineStates,
    read_engine_state,
)
from verbenahall.load._messages import LoadEstimate, Report, parse_report
from verbenahall.load._shell import StatePoller
from verbenahall.load._state import LoadState

__all__ = (
    'EngineState',
    'EngineStates',
    'LoadEstimate',
    'LoadState',
    'Report',
    'StatePoller',
    'compute_load_cost',
    'estimate_load',
    'parse_report',
    'read_engine_state',
    'record_failure',
    'record_finished',
    'record_report',
    'record_sent',
)
