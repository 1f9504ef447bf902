"""Runs every policy on the same traces and works out the figures."""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from verbenahall_standins import bound, policies
from verbenahall_standins.lines import Line
from verbenahall_standins.load import percentile_ms
from verbenahall_standins.ours import Ours
from verbenahall_standins.simulation import Outcome, Policy, Simulation
from verbenahall_standins.traces import WORKLOADS, Workload, write_trace

_NAIVE: Final = 'naive'
_P95: Final = 95
_P99: Final = 99
#: Requests of this priority and above are urgent: flags and caption checks.
_URGENT: Final = 1

Build = Callable[[Workload, int], Policy]

POLICIES: Final[Mapping[str, Build]] = MappingProxyType(
    {
        _NAIVE: lambda workload, seed: policies.Naive(),
        'least load': lambda workload, seed: policies.LeastLoad(),
        'reactive': lambda workload, seed: policies.Reactive(),
        'ours': Ours,
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """One policy on one trace; times in milliseconds."""

    goodput: float
    bound_share: float
    changes: float
    urgent_p99: float
    first_p95: float
    between_p95: float
    queued: float


#: Each figure's name on a line, and its unit.
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
    """One policy's run, kept for the report."""

    workload: str
    policy: str
    seed: int
    figures: Figures
    simulation: Simulation

    @property
    def trace(self) -> str:
        """The trace's name on a line."""
        return f'{self.workload} seed {self.seed}'


def compare(seed: int) -> Iterator[Run]:
    """Yield the run of every policy on every workload's trace."""
    for workload in WORKLOADS.values():
        trace = write_trace(workload, seed)
        best = bound.count_bound(workload, trace)
        for name, build in POLICIES.items():
            simulation = Simulation(workload, build(workload, seed))
            simulation.run(trace)
            figures = work_out(simulation, best, trace[-1].at)
            yield Run(workload.name, name, seed, figures, simulation)


def write_lines(runs: Sequence[Run]) -> Iterator[Line]:
    """Yield a line for each figure, with the naive policy as baseline."""
    naive = {run.trace: run for run in runs if run.policy == _NAIVE}
    for run, key in itertools.product(runs, _UNITS):
        baseline = naive[run.trace].figures
        yield Line(
            f'{run.trace} {run.policy} {key}',
            getattr(run.figures, key),
            _UNITS[key],
            getattr(baseline, key),
        )


def work_out(simulation: Simulation, best: int, seconds: float) -> Figures:
    """Work out the figures of a run that lasted for some seconds."""
    outcomes = simulation.outcomes
    good = collections.Counter(outcome.is_good for outcome in outcomes)[True]
    urgent = [row for row in outcomes if row.arrival.priority <= _URGENT]
    queued = [sample.queued for sample in simulation.samples]
    return Figures(
        goodput=good / seconds,
        bound_share=good / best,
        changes=simulation.changes,
        urgent_p99=_percentile(map(_answer_s, urgent), _P99),
        first_p95=_percentile(map(_first_s, outcomes), _P95),
        between_p95=_percentile(_between_s(outcomes), _P95),
        queued=sum(queued) / len(queued),
    )


def _answer_s(outcome: Outcome) -> float:
    """Seconds to the whole answer; to giving up where there was none."""
    ended = outcome.last_at or outcome.arrival.due
    return ended - outcome.arrival.at


def _first_s(outcome: Outcome) -> float:
    """Seconds to the first token; to giving up where there was none."""
    began = outcome.first_at or outcome.arrival.due
    return began - outcome.arrival.at


def _between_s(outcomes: Sequence[Outcome]) -> Iterator[float]:
    """Mean seconds between tokens of each whole answer."""
    for outcome in outcomes:
        if outcome.last_at and outcome.first_at and outcome.arrival.output > 1:
            spent_s = outcome.last_at - outcome.first_at
            yield spent_s / (outcome.arrival.output - 1)


def _percentile(times_s: Iterator[float], percent: int) -> float:
    return percentile_ms(sorted(times_s), percent)
