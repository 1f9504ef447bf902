"""Seeded traces of both deployments, whose mix swings within minutes.

A phase names the share of the whole fleet's time that each kind of request
asks for; arrivals are Poisson at the rate which that gives. Seeds shift the
lengths and shares of phases, so that a policy cannot fit one trace.
"""

import dataclasses
import random
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

from verbenahall_standins import cost

#: A decoding engine is planned at this batch when its cost is worked out.
_PLANNED_SEQUENCES: Final = 32
_SWING: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request: tokens from and to, and when it must be whole.

    ``deadline_s`` is for the prompt and the queue, ``token_s`` for each
    token of the output.
    """

    name: str
    priority: int
    prompt: tuple[int, int]
    output: tuple[int, int]
    deadline_s: float
    token_s: float = 0.052

    @property
    def engine_s(self) -> float:
        """Seconds of one engine's time that a typical request takes."""
        prompt = sum(self.prompt) // len(self.prompt)
        output = sum(self.output) // len(self.output)
        return work_s(prompt, output)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request; ``due`` is when its whole answer must be there."""

    number: int
    at: float
    kind: str
    priority: int
    prompt: int
    output: int
    due: float


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """How long a mix lasts, and each kind's share of the fleet's time."""

    seconds: float
    shares: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """One deployment: engines in each data centre, kinds, phases."""

    name: str
    engines: Mapping[str, int]
    kinds: tuple[Kind, ...]
    phases: tuple[Phase, ...]
    goodput_weight: float
    change_weight: float

    @property
    def engine_count(self) -> int:
        """All engines of the deployment."""
        return sum(self.engines.values())


def work_s(prompt: int, output: int) -> float:
    """Return the engine time of a request in a full batch."""
    context = _PLANNED_SEQUENCES * (prompt + output // 2)
    step_s = cost.step_s(_PLANNED_SEQUENCES, context)
    return cost.prefill_s(prompt) + output * step_s / _PLANNED_SEQUENCES


#: The Desk: blurbs on a quiet day, an archive rush before the print slot,
#: both at once, then blurbs again. Atlas: shift summaries, a storm with trip
#: questions, a quiet hour, summaries at the change of shift.
WORKLOADS: Final[Mapping[str, Workload]] = MappingProxyType(
    {
        'desk': Workload(
            'desk',
            {'aberystwyth': 4, 'lampeter': 3, 'cardigan': 3},
            (
                Kind('summary', 2, (8000, 30_000), (30, 60), 25),
                Kind('blurb', 2, (50, 100), (150, 300), 1),
                Kind('caption', 1, (50, 100), (4, 10), 1),
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
                Kind('trip', 2, (1500, 4000), (80, 160), 2),
                Kind('shift', 3, (6000, 16_000), (50, 80), 20),
                Kind('flag', 0, (150, 300), (1, 1), 0.5),
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
    """Return the arrivals of a workload, in order of time."""
    chance = random.Random(f'{workload.name}-{seed}')
    drawn = sorted(_draw(workload, chance), key=lambda pair: pair[0])
    return [
        _write_arrival(number, at, kind, chance)
        for number, (at, kind) in enumerate(drawn)
    ]


def _draw(
    workload: Workload,
    chance: random.Random,
) -> Iterator[tuple[float, Kind]]:
    start: float = 0
    for phase in workload.phases:
        end = start + phase.seconds * _vary(chance)
        for kind in workload.kinds:
            share = phase.shares[kind.name] * _vary(chance)
            rate = share * workload.engine_count / kind.engine_s
            yield from _draw_kind(kind, rate, start, end, chance)
        start = end


def _draw_kind(
    kind: Kind,
    rate: float,
    start: float,
    end: float,
    chance: random.Random,
) -> Iterator[tuple[float, Kind]]:
    at = start + chance.expovariate(rate)
    while at < end:
        yield at, kind
        at += chance.expovariate(rate)


def _vary(chance: random.Random) -> float:
    return chance.uniform(1 - _SWING, 1 + _SWING)


def _write_arrival(
    number: int,
    at: float,
    kind: Kind,
    chance: random.Random,
) -> Arrival:
    output = chance.randint(*kind.output)
    return Arrival(
        number=number,
        at=at,
        kind=kind.name,
        priority=kind.priority,
        prompt=chance.randint(*kind.prompt),
        output=output,
        due=at + kind.deadline_s + output * kind.token_s,
    )
