"""What instances report to each other as charged, by workspace."""

import collections
import heapq
from collections.abc import Mapping
from typing import Final

from verbenahall.fair_shares._state import Report, ShareState

#: Seconds without a report after which those of a peer no longer count: as for
#: its open work.
REPORT_TTL_S: Final = 1.5


def export_charges(state: ShareState, now: float) -> Mapping[str, float]:
    """Return what was charged here, by workspace, in decayed seconds."""
    unit = state.find_unit(now)
    return {name: stored / unit for name, stored in state.charged.items()}


def select_largest(
    charged: Mapping[str, float], count: int
) -> Mapping[str, float]:
    """Return the workspaces that were charged most."""
    names = heapq.nlargest(count, charged, key=charged.__getitem__)
    return {name: charged[name] for name in names}


def receive_report(
    state: ShareState, author: str, charged: Mapping[str, float], now: float
) -> None:
    """Charge what a peer has charged since its last report.

    A workspace that the report leaves out was not among those charged most.
    """
    if not state.names:
        return
    report = state.reports.setdefault(author, Report())
    report.received_at = now
    unit = state.find_unit(now)
    stored: collections.Counter[str] = collections.Counter()
    for name, seconds in charged.items():
        stored[state.classify(name)] += seconds * unit
    for entry, total in stored.items():
        added = total - report.reported.get(entry, 0)
        report.reported[entry] = total
        if added > 0:
            report.added[entry] += added
            _charge(state, entry, added)


def expire_reports(state: ShareState, now: float) -> None:
    """Take back what silent peers reported."""
    for author, report in tuple(state.reports.items()):
        if now - report.received_at >= REPORT_TTL_S:
            state.reports.pop(author)
            for name, added in report.added.items():
                _charge(state, name, -added)


def _charge(state: ShareState, name: str, cost: float) -> None:
    for level in state.levels.values():
        state.charge_level(level, name, cost)
