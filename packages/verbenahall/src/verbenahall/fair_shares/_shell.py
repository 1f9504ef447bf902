"""The shares at all queues of an instance, and its reports to peers."""

import collections
import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, final

from verbenahall import journal, metrics
from verbenahall.authentication import KeyTable
from verbenahall.fair_shares._decisions import (
    charge_admitted,
    record_prefill,
    release,
)
from verbenahall.fair_shares._reports import (
    REPORT_TTL_S,
    expire_reports,
    export_charges,
    receive_report,
    select_largest,
)
from verbenahall.fair_shares._state import ShareState

if TYPE_CHECKING:
    from verbenahall.placement import Admitted, PlacementState

#: Workspaces in a report at most.
_MAX_REPORTED: Final = 24
#: Smallest engine time that is reported, in seconds.
_MIN_REPORTED_S: Final = 0.005
_MS: Final = 1000
#: Interval of the log lines of a queue, in seconds.
_LOG_S: Final = 1.0
#: Names of the metric's label by whether a request was beyond its share.
_SHARE_LABELS: Final = MappingProxyType({True: 'beyond', False: 'within'})

_Scope = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    """The last report of a peer, in seconds, and when it was received."""

    charged: Mapping[str, float]
    received_at: float


@final
class FairShares:
    """The share states of the queues, by service and group of engines.

    A queue without a scheduler has the group ''. For example::

        fair_shares = FairShares()
        fair_shares.apply_keys(catalog.keys)
        state = fair_shares.find('reader', 'dc-1/0')
    """

    __slots__ = ('_logged_at', '_names', '_reports', '_states')

    def __init__(self) -> None:
        """Start without workspaces in force."""
        self._logged_at = -float('inf')
        self._names: frozenset[str] = frozenset()
        self._reports: dict[str, _PeerReport] = {}
        self._states: dict[_Scope, ShareState] = {}

    def apply_keys(self, keys: KeyTable | None) -> None:
        """Put the workspaces of a manifest in force; None if it has none."""
        holders = keys.holders.values() if keys else ()
        names = frozenset(holder.name for holder in holders)
        if names == self._names:
            return
        self._names = names
        for state in self._states.values():
            state.apply_workspaces(names)
        journal.write_decision('fair_shares_in_force', workspaces=len(names))

    def find(self, service: str, group: str = '') -> ShareState:
        """Return the shares at a queue.

        A new state starts with what peers have reported, so that a scheduler
        that replaces another one goes on with its shares.
        """
        state = self._states.get((service, group))
        if state is None:
            state = ShareState(self._names)
            self._states[service, group] = state
            for author, report in self._reports.items():
                receive_report(
                    state, author, report.charged, report.received_at
                )
        return state

    def record_admitted(
        self, admitted: 'Admitted', placement: 'PlacementState', now: float
    ) -> None:
        """Charge a request that the queue of a small fleet has admitted."""
        state = self.find(admitted.plan.decode_engine.service)
        charge_admitted(state, admitted.pending, admitted.plan, placement, now)

    def record_prefill(
        self, admitted: 'Admitted', placement: 'PlacementState', seconds: float
    ) -> None:
        """Correct its charge after its prefill, which took ``seconds``."""
        state = self.find(admitted.plan.decode_engine.service)
        record_prefill(
            state, admitted.pending, admitted.plan, placement, seconds
        )

    def record_end(self, admitted: 'Admitted', *, refused: bool) -> None:
        """End its charge, which is taken back if it was refused."""
        state = self.find(admitted.plan.decode_engine.service)
        release(state, admitted.pending, refused=refused)

    def export(self, now: float) -> Mapping[str, int]:
        """Return what was charged at all queues here, in milliseconds.

        Only the workspaces charged most are included, and nothing while no
        workspaces are in force.
        """
        totals: collections.Counter[str] = collections.Counter()
        for state in self._states.values():
            totals.update(export_charges(state, now))
        largest = select_largest(totals, _MAX_REPORTED)
        return {
            name: round(seconds * _MS)
            for name, seconds in largest.items()
            if seconds >= _MIN_REPORTED_S
        }

    def receive(
        self, author: str, charged: Mapping[str, float], now: float
    ) -> None:
        """Count what a peer reports as charged, in milliseconds."""
        if not self._names:
            return
        seconds = {
            name: charged_ms / _MS for name, charged_ms in charged.items()
        }
        self._reports[author] = _PeerReport(seconds, now)
        for state in self._states.values():
            receive_report(state, author, seconds, now)

    def refresh(self, now: float) -> None:
        """Exchange charges between the queues here; drop what has expired.

        To be called at least every second.
        """
        if not self._names:
            return
        for scope, state in self._states.items():
            self._charge_siblings(scope, export_charges(state, now), now)
        for one in self._states.values():
            expire_reports(one, now)
            one.prune(now)
        self._expire_reports(now)
        if now - self._logged_at >= _LOG_S:
            self._logged_at = now
            self._export_observations(now)

    def _charge_siblings(
        self, scope: _Scope, charged: Mapping[str, float], now: float
    ) -> None:
        """Charge the other queues of a service, whose engines differ."""
        for other, state in self._states.items():
            if other != scope and other[0] == scope[0]:
                receive_report(state, f'group {scope[1]}', charged, now)

    def _expire_reports(self, now: float) -> None:
        for author, report in tuple(self._reports.items()):
            if now - report.received_at >= REPORT_TTL_S:
                self._reports.pop(author)

    def _export_observations(self, now: float) -> None:
        for (service, group), state in self._states.items():
            for is_beyond, count in state.admitted.items():
                label = _SHARE_LABELS[is_beyond]
                metrics.SHARED_ADMISSIONS.add(label, count=count)
            if state.marked:
                journal.write_decision(
                    'fair_shares',
                    service=service,
                    group=group,
                    beyond=state.marked,
                    within_admitted=state.admitted[False],
                    beyond_admitted=state.admitted[True],
                    charged_ms=_select_furthest(state, now),
                    peers=len(state.reports),
                )
            state.admitted.clear()


def _select_furthest(state: ShareState, now: float) -> Mapping[str, int]:
    """Return the workspaces that were charged most at a queue."""
    largest = select_largest(export_charges(state, now), 3)
    return {name: round(seconds * _MS) for name, seconds in largest.items()}
