"""Seeded traces of both deployments, whose mix changes within minutes.

A phase sets the share of the fleet's engine time that each kind of request
needs; arrivals follow a Poisson process at the resulting rate. The seed
varies the lengths and shares of the phases, so that a policy cannot be
fitted to one trace.
"""

import dataclasses
import random
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

from verbenahall_standins import cost

#: Batch size that is assumed for the engine time of a request.
_TYPICAL_BATCH: Final = 32
#: Maximum relative variation of a phase's length and shares.
_VARIATION: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request: ranges of token counts, and time limits.

    An answer is due ``deadline_s`` after its arrival, plus ``token_s`` for
    each output token.
    """

    name: str
    priority: int
    prompt: tuple[int, int]
    output: tuple[int, int]
    deadline_s: float
    token_s: float = 0.052

    @property
    def engine_s(self) -> float:
        """Engine time in seconds of a request with mean token counts."""
        prompt = sum(self.prompt) // len(self.prompt)
        output = sum(self.output) // len(self.output)
        return work_s(prompt, output)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request; its whole answer is due at ``due_at``."""

    number: int
    at: float
    kind: str
    priority: int
    prompt: int
    output: int
    due_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Duration of a mix and the share of engine time of each kind."""

    seconds: float
    shares: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """One deployment: engines by data centre, kinds of request, phases."""

    name: str
    engines: Mapping[str, int]
    kinds: tuple[RequestKind, ...]
    phases: tuple[Phase, ...]
    goodput_weight: float
    change_weight: float

    @property
    def engine_count(self) -> int:
        """Number of engines of the deployment."""
        return sum(self.engines.values())


def work_s(prompt: int, output: int) -> float:
    """Return the engine time in seconds of a request in a typical batch."""
    context = _TYPICAL_BATCH * (prompt + output // 2)
    step_s = cost.step_s(_TYPICAL_BATCH, context)
    return cost.prefill_s(prompt) + output * step_s / _TYPICAL_BATCH


#: ``desk``: mostly blurbs, then a surge of archive summaries, both at once, and
#: the first two again. ``atlas``: shift summaries, a surge of trip questions
#: in a storm, low load, and summaries at the change of shift.
WORKLOADS: Final[Mapping[str, Workload]] = MappingProxyType(
    {
        'desk': Workload(
            'desk',
            {'aberystwyth': 4, 'lampeter': 3, 'cardigan': 3},
            (
                RequestKind('summary', 2, (8000, 30_000), (30, 60), 25),
                RequestKind('blurb', 2, (50, 100), (150, 300), 1),
                RequestKind('caption', 1, (50, 100), (4, 10), 1),
            ),
            (
                Phase(50, {'summary': 0.15, 'blurb': 0.55, 'caption': 0.04}),
                Phase(70, {'summary': 0.68, 'blurb': 0.12, 'caption': 0.04}),
                Phase(40, {'summary': 0.42, 'blurb': 0.42, 'caption': 0.04}),
                Phase(60, {'summary': 0.1, 'blurb': 0.65, 'caption': 0.04}),
                Phase(40, {'summary': 0.6, 'blurb': 0.15, 'caption': 0.04}),
            ),
            goodput_weight=2,
            change_weight=1,
        ),
        'atlas': Workload(
            'atlas',
            {'ain': 2, 'sidi': 2, 'nouaceur': 2},
            (
                RequestKind('trip', 2, (1500, 4000), (80, 160), 2),
                RequestKind('shift', 3, (6000, 16_000), (50, 80), 20),
                RequestKind('flag', 0, (150, 300), (1, 1), 0.5),
            ),
            (
                Phase(60, {'trip': 0.2, 'shift': 0.4, 'flag': 0.03}),
                Phase(70, {'trip': 0.75, 'shift': 0.1, 'flag': 0.06}),
                Phase(50, {'trip': 0.3, 'shift': 0.25, 'flag': 0.03}),
                Phase(60, {'trip': 0.2, 'shift': 0.65, 'flag': 0.03}),
            ),
            goodput_weight=1,
            change_weight=3,
        ),
    },
)


def write_trace(workload: Workload, seed: int) -> list[Arrival]:
    """Return the arrivals of a workload in order of time."""
    rng = random.Random(f'{workload.name}-{seed}')
    drawn = sorted(_draw_arrivals(workload, rng), key=lambda pair: pair[0])
    return [
        _build_arrival(number, at, kind, rng)
        for number, (at, kind) in enumerate(drawn)
    ]


def _draw_arrivals(
    workload: Workload,
    rng: random.Random,
) -> Iterator[tuple[float, RequestKind]]:
    start: float = 0
    for phase in workload.phases:
        end = start + phase.seconds * _vary(rng)
        for kind in workload.kinds:
            share = phase.shares[kind.name] * _vary(rng)
            rate = share * workload.engine_count / kind.engine_s
            yield from _draw_kind_arrivals(kind, rate, start, end, rng)
        start = end


def _draw_kind_arrivals(
    kind: RequestKind,
    rate: float,
    start: float,
    end: float,
    rng: random.Random,
) -> Iterator[tuple[float, RequestKind]]:
    at = start + rng.expovariate(rate)
    while at < end:
        yield at, kind
        at += rng.expovariate(rate)


def _vary(rng: random.Random) -> float:
    return rng.uniform(1 - _VARIATION, 1 + _VARIATION)


def _build_arrival(
    number: int,
    at: float,
    kind: RequestKind,
    rng: random.Random,
) -> Arrival:
    output = rng.randint(*kind.output)
    return Arrival(
        number=number,
        at=at,
        kind=kind.name,
        priority=kind.priority,
        prompt=rng.randint(*kind.prompt),
        output=output,
        due_at=at + kind.deadline_s + output * kind.token_s,
    )
