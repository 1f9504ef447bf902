"""Estimates an endpoint's load from its last report and local requests.

An instance knows its own open requests exactly. The requests of other
instances are the last report less the requests that this instance had open at
that time. The weight of a report halves every ``_REPORT_HALF_LIFE_S``, and the
mean over all endpoints replaces it, so a very old report neither attracts nor
repels requests.

The age of a report when it arrives is unknown, and all instances react to the
same reports. If each reacted in full, the fleet would overcompensate and the
load would oscillate between endpoints. The cost of an endpoint therefore
counts the work of other instances only with the local share of all work, at
most ``_MAX_OTHERS_WEIGHT``.
"""

from typing import Final

from verbenahall.load._messages import LoadEstimate, Report
from verbenahall.load._state import EndpointLoad, LoadState

#: Half-life of the weight of a report, in seconds.
_REPORT_HALF_LIFE_S: Final = 1.0
#: Weight of one new report in the mean over all endpoints.
_MEAN_SMOOTHING: Final = 0.05
#: With a smaller free share of the KV cache, an engine soon evicts running
#: requests. The cost is in typical requests.
_KV_LOW_SHARE: Final = 0.1
_KV_LOW_COST: Final = 8.0
#: Maximum weight of the work of other instances.
_MAX_OTHERS_WEIGHT: Final = 0.1
#: Cost of one recent failure, in typical requests. Without it, an endpoint
#: that fails every request immediately would have an empty queue and attract
#: all traffic.
_FAILURE_COST: Final = 16.0
#: Half-life of the number of failures, in seconds.
_FAILURE_HALF_LIFE_S: Final = 1.0
#: Upper bound of the decaying number of failures of an endpoint.
_MAX_FAILURES: Final = 8.0


def record_report(
    state: LoadState,
    name: str,
    report: Report,
    now: float,
) -> None:
    """Record a load report, from a poll or from an answer's header."""
    entry = state.get_or_create(name)
    entry.report = report
    entry.reported_at = now
    entry.local_at_report = len(entry.local_attempts)
    others = _count_others(entry)
    state.mean_others += _MEAN_SMOOTHING * (others - state.mean_others)


def record_sent(
    state: LoadState,
    name: str,
    attempt: str,
    work: float,
    now: float,
) -> None:
    """Record an open attempt with its ``work`` in typical requests."""
    entry = state.get_or_create(name)
    entry.local_attempts[attempt] = work
    entry.local_work += work
    state.open_attempts += 1


def record_finished(
    state: LoadState,
    name: str,
    attempt: str,
    now: float,
) -> None:
    """Record the end of an attempt; a second call has no effect."""
    entry = state.get_or_create(name)
    work = entry.local_attempts.pop(attempt, None)
    if work is not None:
        state.open_attempts -= 1
        # Zero without open attempts, so that rounding errors do not add up.
        entry.local_work = (
            entry.local_work - work if entry.local_attempts else 0
        )


def record_failure(state: LoadState, name: str, now: float) -> None:
    """Record a failed attempt, which adds to the endpoint's cost."""
    entry = state.get_or_create(name)
    failures = _decay_failures(entry, now) + 1
    entry.failures = min(failures, _MAX_FAILURES)
    entry.failed_at = now


def estimate_load(state: LoadState, name: str, now: float) -> LoadEstimate:
    """Return the estimated load and the age of the last report."""
    entry = state.get_or_create(name)
    age = now - entry.reported_at
    others = _estimate_others(state, entry, _compute_report_weight(age))
    return LoadEstimate(entry.local_work + others, age)


def compute_load_cost(state: LoadState, name: str, now: float) -> float:
    """Return the cost of an endpoint in typical requests.

    It counts local work in full and the work of other instances in part.
    Recent failures and a lack of free KV cache add to it.
    """
    entry = state.get_or_create(name)
    report_weight = _compute_report_weight(now - entry.reported_at)
    others = _estimate_others(state, entry, report_weight)
    cost = entry.local_work + _compute_others_weight(state) * others
    if entry.failures:
        cost += _FAILURE_COST * _decay_failures(entry, now)
    if entry.report.kv_free_share < _KV_LOW_SHARE:
        cost += report_weight * _KV_LOW_COST
    return cost


def _compute_report_weight(age_s: float) -> float:
    return 0.5 ** (age_s / _REPORT_HALF_LIFE_S)


def _estimate_others(
    state: LoadState,
    entry: EndpointLoad,
    report_weight: float,
) -> float:
    return (
        report_weight * _count_others(entry)
        + (1 - report_weight) * state.mean_others
    )


def _compute_others_weight(state: LoadState) -> float:
    """Return the local share of all work, at most its maximum."""
    others = state.mean_others * len(state.endpoints)
    return min(
        _MAX_OTHERS_WEIGHT,
        state.open_attempts / (state.open_attempts + others + 1),
    )


def _count_others(entry: EndpointLoad) -> int:
    reported = entry.report.running + entry.report.queued
    return max(0, reported - entry.local_at_report)


def _decay_failures(entry: EndpointLoad, now: float) -> float:
    age = now - entry.failed_at
    return entry.failures * 0.5 ** (age / _FAILURE_HALF_LIFE_S)
