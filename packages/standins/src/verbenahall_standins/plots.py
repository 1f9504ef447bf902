"""Plots of goodput, queues and roles over time in one SVG file."""

import collections
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from matplotlib.figure import Figure

from verbenahall.fleet import Role
from verbenahall_standins.comparison import Run

#: Length of the bins in which good answers are counted, in seconds.
_BIN_S: Final = 5
_ROWS: Final = 3
#: Size of each plot in inches.
_WIDTH: Final = 7
_HEIGHT: Final = 3
#: Name of the product's policy in the output.
_PRODUCT_POLICY: Final = 'ours'


def draw_report(runs: Sequence[Run], path: Path) -> None:
    """Draw a column for each workload; roles are those of the product."""
    names = list(dict.fromkeys(run.workload for run in runs))
    size = (_WIDTH * len(names), _HEIGHT * _ROWS)
    figure = Figure(figsize=size, layout='constrained')
    grid = figure.subplots(_ROWS, len(names), sharex='col', squeeze=False)
    for column, name in enumerate(names):
        workload_runs = [run for run in runs if run.workload == name]
        _draw_column([row[column] for row in grid], workload_runs)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, format='svg')


def _draw_column(axes: Sequence[Any], runs: Sequence[Run]) -> None:
    goodput, queues, roles = axes
    workload = runs[0].workload
    goodput.set_title(f'{workload}, seed {runs[0].seed}')
    goodput.set_ylabel('good answers/s')
    queues.set_ylabel('requests queued')
    roles.set_ylabel('engines by role (ours)')
    roles.set_xlabel('seconds')
    for run in runs:
        goodput.plot(*_count_good(run), label=run.policy)
        samples = run.simulation.samples
        times = [sample.at for sample in samples]
        queues.plot(times, [sample.queued for sample in samples])
    goodput.legend()
    _draw_roles(roles, runs)


def _count_good(run: Run) -> tuple[list[float], list[float]]:
    """Return the start of each time bin and its good answers a second."""
    bins = collections.Counter(
        outcome.last_token_at // _BIN_S * _BIN_S
        for outcome in run.simulation.outcomes
        if outcome.is_good and outcome.last_token_at is not None
    )
    times = sorted(bins)
    return times, [bins[time] / _BIN_S for time in times]


def _draw_roles(axis: Any, runs: Sequence[Run]) -> None:
    product_runs = [run for run in runs if run.policy == _PRODUCT_POLICY]
    samples = product_runs[0].simulation.samples
    counts = [[sample.roles.count(role) for sample in samples] for role in Role]
    times = [sample.at for sample in samples]
    axis.stackplot(times, counts, labels=[role.value for role in Role])
    axis.legend()
