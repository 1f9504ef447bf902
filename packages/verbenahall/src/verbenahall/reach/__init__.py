"""Whether this instance reaches the endpoints of each service.

A failure at one endpoint may be its own. Only if none of several accepts a
connection is the service unreachable from here, which says nothing about the
endpoints: other instances may reach them.
"""

from verbenahall.reach._decisions import (
    CheckResult,
    apply_check,
    choose_sample,
    is_check_due,
    record_ended,
    record_response,
    record_sent,
    record_trouble,
)
from verbenahall.reach._state import ReachTable, ServiceReach

__all__ = (
    'CheckResult',
    'ReachTable',
    'ServiceReach',
    'apply_check',
    'choose_sample',
    'is_check_due',
    'record_ended',
    'record_response',
    'record_sent',
    'record_trouble',
)
