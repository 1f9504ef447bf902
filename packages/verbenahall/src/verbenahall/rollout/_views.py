"""Builds the planner's view of each engine."""

from collections.abc import Iterator, Sequence
from typing import Final

from verbenahall.fleet import Endpoint, EndpointStatus, Target
from verbenahall.orders import (
    Dispatch,
    EngineReport,
    OrdersState,
    Progress,
    find_progress,
    is_cleared,
    record_failed_change,
)
from verbenahall.rollout._messages import EngineView

#: Time in seconds after which every instance has read the end of a change;
#: each polls an engine with an outstanding order several times a second.
_PROPAGATION_S: Final = 1.0

#: An engine of the data centre and its status.
Member = tuple[Endpoint, EndpointStatus]


def build_views(
    members: Sequence[Member],
    state: OrdersState,
    dispatch: Dispatch,
    now: float,
) -> tuple[EngineView, ...]:
    """Return a view of each engine that has a report."""
    return tuple(_list_views(members, state, dispatch, now))


def _list_views(
    members: Sequence[Member],
    state: OrdersState,
    dispatch: Dispatch,
    now: float,
) -> Iterator[EngineView]:
    for endpoint, status in members:
        report = state.reports.get(endpoint.name)
        if report is None:
            continue
        record_failed_change(dispatch, state, endpoint.name, now)
        live = status is EndpointStatus.LIVE and not report.leaving
        cleared = is_cleared(dispatch, state, endpoint)
        resting = now < dispatch.find_sends(endpoint.name).retry_at
        progress = _find_progress(state, report)
        finished_at = state.finished_at.get(endpoint.name, -float('inf'))
        yield EngineView(
            name=endpoint.name,
            incarnation=report.incarnation,
            holding=report.holding,
            reachable=live,
            pending=_find_pending(state, report, progress),
            running=report.changing,
            resting=resting or not cleared,
            just_changed=now - finished_at < _PROPAGATION_S,
        )


def _find_progress(
    state: OrdersState,
    report: EngineReport,
) -> Progress | None:
    order = state.orders.get(report.name)
    return find_progress(order, report) if order else None


def _find_pending(
    state: OrdersState,
    report: EngineReport,
    progress: Progress | None,
) -> Target | None:
    if progress in {Progress.UNCONFIRMED, Progress.RUNNING}:
        return state.orders[report.name].target
    return None
