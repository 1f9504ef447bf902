"""What to believe of an endpoint's load from old reports and own work.

An instance knows its own open work exactly. What others have open there is
the last report less the own share at that moment; trust in it halves every
``_TRUST_HALF_LIFE_S`` and the mean over all endpoints takes its place, so a
very old report neither attracts nor repels.

A report is late by a time that nobody knows, and all instances act on it. If
each of them answered it in full, the fleet would answer it many times over,
and the load would swing from endpoint to endpoint. So a choice weighs others'
work by the own share of all work, and never by more than ``_MOST_GAIN``.
"""

from typing import Final

from verbenahall.load._messages import Belief, Report
from verbenahall.load._state import EndpointLoad, LoadState

_TRUST_HALF_LIFE_S: Final = 1.0
#: Weight of one new report in the mean over all endpoints.
_MEAN_WEIGHT: Final = 0.05
#: Below this free share an engine soon evicts running requests.
_KV_TIGHT_SHARE: Final = 0.1
_KV_TIGHT_LOAD: Final = 8.0
_MOST_GAIN: Final = 0.1
#: Believed load for one recent failure. An endpoint that fails at once has
#: an empty queue and would draw all traffic; this keeps it away.
_FAILURE_LOAD: Final = 16.0
_FAILURE_HALF_LIFE_S: Final = 1.0
_MOST_FAILURES: Final = 8.0


def observe_report(
    state: LoadState,
    name: str,
    report: Report,
    now: float,
) -> None:
    """Take an endpoint's report, polled or carried on an answer."""
    entry = state.of(name)
    entry.report = report
    entry.reported_at = now
    entry.own_at_report = len(entry.own)
    others = _count_others(entry)
    state.mean_others += _MEAN_WEIGHT * (others - state.mean_others)


def note_sent(
    state: LoadState,
    name: str,
    attempt: str,
    work: float,
    now: float,
) -> None:
    """Count an attempt as open; ``work`` is in typical requests."""
    entry = state.of(name)
    entry.own[attempt] = work
    entry.own_work += work
    state.open += 1


def note_finished(
    state: LoadState,
    name: str,
    attempt: str,
    now: float,
) -> None:
    """Count an attempt as over, however it ended; twice is harmless."""
    entry = state.of(name)
    work = entry.own.pop(attempt, None)
    if work is not None:
        state.open -= 1
        # Set to zero with the last one, so that rounding cannot add up.
        entry.own_work = entry.own_work - work if entry.own else 0


def note_failed(state: LoadState, name: str, now: float) -> None:
    """Remember that an attempt failed, which makes the endpoint look full."""
    entry = state.of(name)
    failures = _recent_failures(entry, now) + 1
    entry.failures = min(failures, _MOST_FAILURES)
    entry.failed_at = now


def believe(state: LoadState, name: str, now: float) -> Belief:
    """Return the believed load and the age of the report behind it."""
    entry = state.of(name)
    age = now - entry.reported_at
    others = _believe_others(state, entry, _find_trust(age))
    return Belief(entry.own_work + others, age)


def weigh(state: LoadState, name: str, now: float) -> float:
    """Return what a choice compares, in typical requests.

    It takes own work in full, others' only in part, and adds to endpoints
    that have failed lately or are short of KV cache.
    """
    entry = state.of(name)
    trust = _find_trust(now - entry.reported_at)
    others = _believe_others(state, entry, trust)
    cost = entry.own_work + _find_gain(state) * others
    if entry.failures:
        cost += _FAILURE_LOAD * _recent_failures(entry, now)
    if entry.report.kv_free_share < _KV_TIGHT_SHARE:
        cost += trust * _KV_TIGHT_LOAD
    return cost


def _find_trust(age_s: float) -> float:
    return 0.5 ** (age_s / _TRUST_HALF_LIFE_S)


def _believe_others(
    state: LoadState,
    entry: EndpointLoad,
    trust: float,
) -> float:
    return trust * _count_others(entry) + (1 - trust) * state.mean_others


def _find_gain(state: LoadState) -> float:
    """Return the own share of all work, within its bound."""
    others = state.mean_others * len(state.endpoints)
    return min(_MOST_GAIN, state.open / (state.open + others + 1))


def _count_others(entry: EndpointLoad) -> int:
    reported = entry.report.running + entry.report.queued
    return max(0, reported - entry.own_at_report)


def _recent_failures(entry: EndpointLoad, now: float) -> float:
    age = now - entry.failed_at
    return entry.failures * 0.5 ** (age / _FAILURE_HALF_LIFE_S)
