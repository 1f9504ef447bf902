"""Central queues: one instance schedules a group of engines for all others.

In a small fleet every instance receives the load reports of all others and
chooses engines by itself. In a large fleet each one sees a small sample of the
load: engines that look idle get the prompts of many instances at once, and the
requests have no common order. So the engines are divided into groups, and one
instance schedules each group. The others request engines from it by datagram
and report the progress of their requests. They send the requests to the engines
themselves, so no request is lost with a scheduler, and an instance that gets no
answer chooses engines by itself.
"""

from verbenahall.scheduling._decision_log import log_reply
from verbenahall.scheduling._decisions import (
    assign_waiting,
    decline_waiting,
    expire_assignments,
    receive_request,
    record_progress,
)
from verbenahall.scheduling._group_status import add_status, refuse_spill
from verbenahall.scheduling._groups import (
    is_local,
    list_group_engines,
    needs_scheduler,
    rank_groups,
    rank_schedulers,
)
from verbenahall.scheduling._health import SchedulerHealth
from verbenahall.scheduling._messages import (
    Assignment,
    Declined,
    FirstEvent,
    Message,
    Prefilled,
    Queued,
    Rejection,
    Released,
    ScheduleRequest,
    decode,
    encode,
    find_status,
)
from verbenahall.scheduling._share_reports import ShareReporter
from verbenahall.scheduling._state import Reply, SchedulerState
from verbenahall.scheduling._trials import begin_trials, record_trial_progress

__all__ = (
    'Assignment',
    'Declined',
    'FirstEvent',
    'Message',
    'Prefilled',
    'Queued',
    'Rejection',
    'Released',
    'Reply',
    'ScheduleRequest',
    'SchedulerHealth',
    'SchedulerState',
    'ShareReporter',
    'add_status',
    'assign_waiting',
    'begin_trials',
    'decline_waiting',
    'decode',
    'encode',
    'expire_assignments',
    'find_status',
    'is_local',
    'list_group_engines',
    'log_reply',
    'needs_scheduler',
    'rank_groups',
    'rank_schedulers',
    'receive_request',
    'record_progress',
    'record_trial_progress',
    'refuse_spill',
)
