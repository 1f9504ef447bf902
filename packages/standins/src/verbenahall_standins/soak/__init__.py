"""Soak test: real instances under random faults, with checked guarantees."""

from verbenahall_standins.soak._broken_answers import (
    EndpointHistory,
    find_broken_answers,
)
from verbenahall_standins.soak._callers import ABANDONED, TRUNCATED
from verbenahall_standins.soak._checks import find_violations
from verbenahall_standins.soak._cuts import CutWindow, find_unserved
from verbenahall_standins.soak._departures import (
    Departure,
    StoreDisturbance,
    find_late_arrivals,
)
from verbenahall_standins.soak._deployment import Deployment
from verbenahall_standins.soak._links import Cut, EndpointLinks
from verbenahall_standins.soak._notices import (
    LinkFault,
    find_unheeded_notices,
)
from verbenahall_standins.soak._parts import find_resent_parts
from verbenahall_standins.soak._plan import (
    Event,
    Kind,
    Scenario,
    draw_plan,
)
from verbenahall_standins.soak._proxy import Link, Listener, Proxy
from verbenahall_standins.soak._records import Record
from verbenahall_standins.soak._run import run_soak
from verbenahall_standins.soak._streams import (
    StreamAttempt,
    find_mixed,
    find_not_resumed,
)

__all__ = (
    'ABANDONED',
    'Cut',
    'Departure',
    'Deployment',
    'CutWindow',
    'EndpointHistory',
    'EndpointLinks',
    'Event',
    'Kind',
    'Link',
    'LinkFault',
    'Listener',
    'Proxy',
    'Record',
    'Scenario',
    'StoreDisturbance',
    'StreamAttempt',
    'TRUNCATED',
    'draw_plan',
    'find_broken_answers',
    'find_late_arrivals',
    'find_mixed',
    'find_not_resumed',
    'find_resent_parts',
    'find_unheeded_notices',
    'find_unserved',
    'find_violations',
    'run_soak',
)
