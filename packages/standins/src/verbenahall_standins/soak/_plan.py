"""What goes wrong when, drawn from a seed."""

import dataclasses
import enum
import random
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

#: Seconds without faults at the start and at the end: to get going, and for
#: what must hold again after the last fault.
_QUIET_S: Final = 1.5
_SHORTEST_S: Final = 0.4
_LONGEST_S: Final = 3.0
#: Faults that overlap or follow each other, by second of the soak.
_FAULTS_A_SECOND: Final = 0.7


@final
class Kind(enum.Enum):
    """Kinds of events; most end after a while by themselves."""

    ENDPOINT_LINK = 'endpoint_link'
    STORE_LINK = 'store_link'
    STORE_DOWN = 'store_down'
    STORE_LOSES_ANSWERS = 'store_loses_answers'
    ENGINE_STALLS = 'engine_stalls'
    ENGINE_BREAKS = 'engine_breaks'
    ENDPOINT_REFUSES = 'endpoint_refuses'
    FREEZE = 'freeze'
    KILL = 'kill'
    TERMINATE = 'terminate'
    HANGUP = 'hangup'
    MANIFEST = 'manifest'
    KEYS = 'keys'
    DUTIES_LATE = 'duties_late'
    DUTIES_SILENT = 'duties_silent'


#: How often each kind is drawn against the others.
_WEIGHTS: Final[Mapping[Kind, int]] = MappingProxyType(
    {
        Kind.ENDPOINT_LINK: 4,
        Kind.STORE_LINK: 3,
        Kind.STORE_DOWN: 2,
        Kind.STORE_LOSES_ANSWERS: 1,
        Kind.ENGINE_STALLS: 2,
        Kind.ENGINE_BREAKS: 2,
        Kind.ENDPOINT_REFUSES: 1,
        Kind.FREEZE: 2,
        Kind.KILL: 2,
        Kind.TERMINATE: 1,
        Kind.HANGUP: 1,
        Kind.MANIFEST: 4,
        Kind.KEYS: 3,
        Kind.DUTIES_LATE: 1,
        Kind.DUTIES_SILENT: 1,
    },
)
#: Bound of the drawn numbers; much larger than any number of targets.
_DRAWN: Final = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One fault: its start and length in seconds.

    ``place`` and ``shape`` are drawn numbers; whoever carries the event out
    takes them modulo the number of targets and of variants there are.
    """

    at: float
    kind: Kind
    for_s: float
    place: int
    shape: int


def draw_plan(seed: int, seconds: float) -> list[Event]:
    """Draw the events of a soak; the same seed gives the same ones.

    An example::

        draw_plan(seed=1, seconds=20)[0].kind
    """
    source = random.Random(seed)
    last = max(_QUIET_S, seconds - _QUIET_S - _LONGEST_S)
    count = max(1, round((last - _QUIET_S) * _FAULTS_A_SECOND))
    drawn = [_draw(source, last) for _ in range(count)]
    return sorted(drawn, key=lambda event: event.at)


def _draw(source: random.Random, last: float) -> Event:
    kinds = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    return Event(
        at=source.uniform(_QUIET_S, last),
        kind=source.choices(kinds, weights)[0],
        for_s=source.uniform(_SHORTEST_S, _LONGEST_S),
        place=source.randrange(_DRAWN),
        shape=source.randrange(_DRAWN),
    )
