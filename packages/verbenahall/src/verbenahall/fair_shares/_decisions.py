"""Decides which waiting requests are beyond their share, and charges them."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

from verbenahall.fair_shares._costs import (
    estimate_engine_time,
    measure_engine_time,
)
from verbenahall.fair_shares._levels import Level, count_unshared
from verbenahall.fair_shares._state import Charge, ShareState

if TYPE_CHECKING:
    from verbenahall.placement import PlacementState, Plan, QueuedRequest

#: Lead over the lowest workspace from which on requests are beyond their
#: share, in mean waiting requests. Within it the order by due time holds. With
#: a smaller lead requests would be late for differences of chance; with a much
#: larger one a workspace would get far more than its share.
_LEAD_REQUESTS: Final = 3


def mark_beyond_share(
    state: ShareState, waiting: Sequence['QueuedRequest'], now: float
) -> None:
    """Set ``beyond_share`` of all waiting requests, before each dispatch.

    Within a priority, a request is beyond its share if its workspace would be
    ahead of the one with the lowest virtual time by more than the mean cost of
    three requests, once its requests before this one are served. If one
    workspace waits, none of its requests is held back for it, but its callers
    are compared in the same way. A repeat of a request that waits is beyond its
    share in any case, and is charged when it begins to wait: one that repeats
    at once would otherwise wait at two places for the cost of one.
    """
    if not state.names:
        _clear_marks(state, waiting)
        return
    token_cost = state.token_s * state.find_unit(now)
    _update_waiting(state, waiting, now)
    # Repeats are in no level.
    marked = len(waiting)
    for level in state.levels.values():
        marked -= level.count
        if level.waiting:
            level.sort(token_cost, now)
            marked += _mark_level(state, level, token_cost)
    state.marked = marked


def charge(
    state: ShareState, pending: 'QueuedRequest', engine_s: float, now: float
) -> None:
    """Charge an admitted request to its workspace and its caller.

    ``engine_s`` is its expected engine time in seconds. ``correct`` and
    ``release`` change it once more is known. A repeat was charged as it began
    to wait, too.
    """
    if not state.names:
        return
    state.admitted[pending.beyond_share] += 1
    one = _make_charge(state, pending, engine_s, now)
    state.open_charges[pending] = one
    _add(state, one, engine_s)


def charge_admitted(
    state: ShareState,
    pending: 'QueuedRequest',
    plan: 'Plan',
    placement: 'PlacementState',
    now: float,
) -> None:
    """Charge an admitted request its expected engine time by its plan."""
    if state.names:
        work = pending.placement_request.work
        engine_s = estimate_engine_time(placement, plan, work)
        charge(state, pending, engine_s, now)


def record_prefill(
    state: ShareState,
    pending: 'QueuedRequest',
    plan: 'Plan',
    placement: 'PlacementState',
    seconds: float,
) -> None:
    """Correct the charge of a request whose prefill took some seconds."""
    work = pending.placement_request.work
    correct(state, pending, measure_engine_time(placement, plan, work, seconds))


def correct(
    state: ShareState, pending: 'QueuedRequest', engine_s: float
) -> None:
    """Replace the expected engine time of a request by a measured one.

    Further corrections of the same request have no effect.
    """
    if pending in state.open_charges:
        state.observe_cost(count_unshared(pending), engine_s)
        _replace(state, pending, engine_s)


def release(
    state: ShareState, pending: 'QueuedRequest', *, refused: bool
) -> None:
    """End the charge of a request; it is taken back if no engine ran it."""
    if refused:
        _replace(state, pending, 0)
    state.open_charges.pop(pending, None)


def _make_charge(
    state: ShareState, pending: 'QueuedRequest', engine_s: float, now: float
) -> Charge:
    return Charge(
        pending.priority,
        state.classify(pending.source.workspace),
        pending.source.caller,
        engine_s,
        now,
    )


def _replace(
    state: ShareState, pending: 'QueuedRequest', engine_s: float
) -> None:
    """Replace the open charge of a request, if it has one."""
    one = state.open_charges.pop(pending, None)
    if one is not None:
        _add(state, one, engine_s - one.engine_s)


def _add(state: ShareState, one: Charge, engine_s: float) -> None:
    """Add engine time to a charge, weighted as at the time of the charge."""
    if state.classify(one.workspace) != one.workspace:
        # The workspace was removed in the meantime.
        return
    cost = engine_s * state.find_unit(one.at)
    level = state.find_level(one.priority)
    state.charge_level(level, one.workspace, cost)
    level.charge_caller(one.workspace, one.caller, cost)
    state.charged[one.workspace] += cost


def _update_waiting(
    state: ShareState, waiting: Sequence['QueuedRequest'], now: float
) -> None:
    """Update the levels by who waits now, and charge the repeats."""
    changes = state.waiting.update(waiting)
    for gone in changes.left:
        entry = state.classify(gone.source.workspace)
        state.find_level(gone.priority).discard(entry, gone)
    for pending in changes.begun:
        entry = state.classify(pending.source.workspace)
        state.find_level(pending.priority).add(entry, pending)
    for repeat in changes.repeats:
        # Replacing this charge at the admission would move it in time: others
        # that begin to wait in between would start behind it.
        engine_s = count_unshared(repeat) * state.token_s
        _add(state, _make_charge(state, repeat, engine_s, now), engine_s)


def _clear_marks(state: ShareState, waiting: Sequence['QueuedRequest']) -> None:
    if state.marked:
        for pending in waiting:
            pending.beyond_share = False
        state.marked = 0


def _mark_level(state: ShareState, level: Level, token_cost: float) -> int:
    """Mark the requests of one priority; return how many are beyond."""
    mean_tokens = level.tokens / level.count
    allowance = _LEAD_REQUESTS * mean_tokens * token_cost
    lowest = level.workspaces.advance(level.waiting.keys())
    if len(level.waiting) == 1:
        return level.mark_callers(allowance)
    limit = lowest + allowance
    return level.mark_workspaces(limit, 1 / token_cost, state.bounds)
