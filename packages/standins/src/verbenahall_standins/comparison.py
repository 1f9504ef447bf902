"""Runs all policies on the same traces and computes their figures."""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from verbenahall_standins import bound, policies
from verbenahall_standins.lines import Line
from verbenahall_standins.load import percentile_ms
from verbenahall_standins.product_policy import ProductPolicy
from verbenahall_standins.simulation import Outcome, Policy, Simulation
from verbenahall_standins.traces import WORKLOADS, Workload, write_trace

#: Name of the round robin policy in the output.
_NAIVE: Final = 'naive'
_P95: Final = 95
_P99: Final = 99
#: Requests with this priority number or a lower one are urgent: flags and
#: captions.
_URGENT_PRIORITY: Final = 1

PolicyFactory = Callable[[Workload, int], Policy]

POLICIES: Final[Mapping[str, PolicyFactory]] = MappingProxyType(
    {
        _NAIVE: lambda workload, seed: policies.RoundRobin(),
        'least load': lambda workload, seed: policies.LeastLoad(),
        'reactive': lambda workload, seed: policies.Reactive(),
        'ours': ProductPolicy,
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one policy on one trace; times are in milliseconds."""

    goodput: float
    bound_share: float
    changes: float
    urgent_p99: float
    first_p95: float
    between_p95: float
    queued: float


#: Unit of each figure, by its name in the output.
_UNITS: Final = MappingProxyType(
    {
        'goodput': '1/s',
        'bound_share': 'share',
        'changes': 'count',
        'urgent_p99': 'ms',
        'first_p95': 'ms',
        'between_p95': 'ms',
        'queued': 'mean',
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The run of one policy on one trace."""

    workload: str
    policy: str
    seed: int
    figures: Figures
    simulation: Simulation

    @property
    def trace(self) -> str:
        """Name of the trace in the output."""
        return f'{self.workload} seed {self.seed}'


def compare(seed: int) -> Iterator[Run]:
    """Run each policy on the trace of each workload."""
    for workload in WORKLOADS.values():
        trace = write_trace(workload, seed)
        bound_count = bound.count_bound(workload, trace)
        for name, build in POLICIES.items():
            simulation = Simulation(workload, build(workload, seed))
            simulation.run(trace)
            figures = compute_figures(simulation, bound_count, trace[-1].at)
            yield Run(workload.name, name, seed, figures, simulation)


def build_lines(runs: Sequence[Run]) -> Iterator[Line]:
    """Yield a line for each figure, with round robin as the baseline."""
    naive = {run.trace: run for run in runs if run.policy == _NAIVE}
    for run, key in itertools.product(runs, _UNITS):
        baseline = naive[run.trace].figures
        yield Line(
            f'{run.trace} {run.policy} {key}',
            getattr(run.figures, key),
            _UNITS[key],
            getattr(baseline, key),
        )


def compute_figures(
    simulation: Simulation, bound_count: int, seconds: float
) -> Figures:
    """Compute the figures of a run.

    ``bound_count`` is the upper bound on requests answered in time, and
    ``seconds`` the duration of the trace.
    """
    outcomes = simulation.outcomes
    good = collections.Counter(outcome.is_good for outcome in outcomes)[True]
    urgent = [
        row for row in outcomes if row.arrival.priority <= _URGENT_PRIORITY
    ]
    queued = [sample.queued for sample in simulation.samples]
    return Figures(
        goodput=good / seconds,
        bound_share=good / bound_count,
        changes=simulation.changes,
        urgent_p99=_percentile(map(_compute_answer_s, urgent), _P99),
        first_p95=_percentile(map(_compute_first_token_s, outcomes), _P95),
        between_p95=_percentile(_list_token_gaps_s(outcomes), _P95),
        queued=sum(queued) / len(queued),
    )


def _compute_answer_s(outcome: Outcome) -> float:
    """Return the seconds to the whole answer, or to the due time without it."""
    ended = outcome.last_token_at or outcome.arrival.due_at
    return ended - outcome.arrival.at


def _compute_first_token_s(outcome: Outcome) -> float:
    """Return the seconds to the first token, or to the due time without it."""
    began = outcome.first_token_at or outcome.arrival.due_at
    return began - outcome.arrival.at


def _list_token_gaps_s(outcomes: Sequence[Outcome]) -> Iterator[float]:
    """Yield the mean seconds between tokens of each complete answer."""
    for outcome in outcomes:
        if (
            outcome.last_token_at
            and outcome.first_token_at
            and outcome.arrival.output > 1
        ):
            spent_s = outcome.last_token_at - outcome.first_token_at
            yield spent_s / (outcome.arrival.output - 1)


def _percentile(times_s: Iterator[float], percent: int) -> float:
    return percentile_ms(sorted(times_s), percent)
