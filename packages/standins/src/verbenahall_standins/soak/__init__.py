"""A soak: real instances under drawn faults, and promises checked meanwhile."""

from verbenahall_standins.soak._checks import Record, find_broken
from verbenahall_standins.soak._plan import Event, Kind, draw_plan
from verbenahall_standins.soak._proxy import Link, Proxy
from verbenahall_standins.soak._run import run_soak

__all__ = (
    'Event',
    'Kind',
    'Link',
    'Proxy',
    'Record',
    'draw_plan',
    'find_broken',
    'run_soak',
)
