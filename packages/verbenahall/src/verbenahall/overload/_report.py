"""Logs and counts what the decisions on a queue have come to."""

from collections.abc import Sequence
from typing import Final

from verbenahall import journal, metrics
from verbenahall.overload._messages import Candidate, Stage
from verbenahall.overload._state import OverloadState

#: Shortest time between two lines about a queue, in seconds.
_INTERVAL_S: Final = 1.0
#: Most engines and groups that a line names.
_MAX_NAMED: Final = 8


def report_overload(
    state: OverloadState,
    service: str,
    waiting: Sequence[Candidate],
    now: float,
) -> None:
    """Write a line if a queue was overloaded, at most once a second.

    Nothing is written while all requests fit and no caller was refused.
    """
    if now - state.reported_at < _INTERVAL_S:
        return
    state.reported_at = now
    left_out = sum(one.rank[2] is Stage.LEFT_OUT for one in waiting)
    starved = sorted(state.outcomes.find_starved(now))
    if not (left_out or state.counts or starved):
        return
    journal.write_decision(
        'overload',
        service=service,
        waiting=len(waiting),
        left_out=left_out,
        late=sum(one.rank[2] is Stage.LATE for one in waiting),
        counts=dict(state.counts),
        starved=[':'.join(group) for group in starved[:_MAX_NAMED]],
        delays=_list_delays(state, now),
    )
    for outcome, count in state.counts.items():
        metrics.OVERLOAD.add(outcome, count=count)
    state.counts.clear()


def _list_delays(state: OverloadState, now: float) -> dict[str, float]:
    """Return the longest delays by engine, in seconds."""
    delays = state.delays.estimate_all(now)
    longest = sorted(delays, key=lambda name: delays[name], reverse=True)
    return {
        name: journal.round_to_ms(delays[name]) for name in longest[:_MAX_NAMED]
    }
