"""Which endpoints an instance uses, by sends, their answers and alerts.

An endpoint that is not reached is excluded until a probe reaches it, and then
gets one request at a time until some have succeeded (circuit breaker).
"""

from verbenahall.endpoint_health._breakers import Phase, Sending
from verbenahall.endpoint_health._endpoints import Endpoints
from verbenahall.endpoint_health._health import (
    EndpointHealthTable,
    list_failing,
)
from verbenahall.endpoint_health._notices import EndpointNotices
from verbenahall.endpoint_health._trials import (
    begin_send,
    begin_trials,
    end_send,
    end_trials,
    list_probe_due,
    record_alerted,
    record_reachable,
    record_trials,
)

__all__ = (
    'EndpointHealthTable',
    'EndpointNotices',
    'Endpoints',
    'Phase',
    'Sending',
    'begin_send',
    'begin_trials',
    'end_send',
    'end_trials',
    'list_failing',
    'list_probe_due',
    'record_alerted',
    'record_reachable',
    'record_trials',
)
