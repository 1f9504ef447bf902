"""One queue for a group of engines, kept by one instance for all others.

In a small fleet every instance hears every other one, and each decides by
itself. In a large one each sees a small sample of the load: engines that look
idle get the prompts of many instances at once, and no queue has an order. So
the engines are divided into groups, and one instance schedules each group:
the others ask it by datagram where a prompt is prefilled and decoded, and
tell it how that went. They send the request themselves, so a scheduler that
dies loses no request, and whoever gets no answer decides by itself.
"""

from verbenahall.scheduling._decisions import (
    expire,
    look,
    note,
    receive,
)
from verbenahall.scheduling._groups import (
    is_near,
    list_group,
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
)
from verbenahall.scheduling._state import Reply, SchedulerState

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
    'decode',
    'encode',
    'expire',
    'is_near',
    'list_group',
    'look',
    'needs_scheduler',
    'note',
    'rank_groups',
    'rank_schedulers',
    'receive',
)
