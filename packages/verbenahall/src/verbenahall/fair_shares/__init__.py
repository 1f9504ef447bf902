"""Shares scarce capacity between workspaces, and between their callers.

Both interfaces use the same virtual times: the queues of admission take turns
by them (``FairQueue``), and the prefill queues mark the requests that are
beyond the share of their workspace (``mark_beyond_share``).
"""

from verbenahall.fair_shares._decisions import (
    charge,
    charge_admitted,
    correct,
    mark_beyond_share,
    record_prefill,
    release,
)
from verbenahall.fair_shares._queue import (
    DEFAULT_BOUNDS,
    NO_BOUNDS,
    FairQueue,
    WorkspaceBounds,
    Workspaces,
)
from verbenahall.fair_shares._reports import (
    expire_reports,
    export_charges,
    receive_report,
)
from verbenahall.fair_shares._shell import FairShares
from verbenahall.fair_shares._state import Charge, ShareState
from verbenahall.fair_shares._virtual_times import VirtualTimes

__all__ = (
    'DEFAULT_BOUNDS',
    'NO_BOUNDS',
    'Charge',
    'FairQueue',
    'FairShares',
    'ShareState',
    'VirtualTimes',
    'WorkspaceBounds',
    'Workspaces',
    'charge',
    'charge_admitted',
    'correct',
    'expire_reports',
    'export_charges',
    'mark_beyond_share',
    'receive_report',
    'record_prefill',
    'release',
)
