"""The number of engines that a demand needs."""

import dataclasses
import math
from typing import Final

from verbenahall.capacity._messages import Demand

#: Share of the engine time of prefill engines that is used at most. Prompts
#: share prefixes and go to the engines that have them cached, so the load of
#: engines is uneven; and one in seven may be 2.5 times slower for a while.
_MAX_PREFILL_SHARE: Final = 0.6
#: Share of the shortest objective that a prefill may wait on average. The rest
#: is for the prefill itself and for waits above the average.
_MAX_WAIT_SHARE: Final = 0.25
#: Share of the slots of decode engines that is used at most, since streams are
#: distributed unevenly.
_MAX_SLOT_SHARE: Final = 0.7
#: One engine in this many decodes; see ``placement/_roles.py``.
_ENGINES_PER_DECODE: Final = 3
#: Both roles need an engine.
MIN_SIZE: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTraits:
    """What the size of a service depends on beside its demand.

    ``slots`` is the number of streams that an engine decodes at a time, and
    ``objective_s`` the shortest objective of the service's routes, in seconds.
    """

    slots: int
    objective_s: float


def count_engines(demand: Demand, traits: ServiceTraits) -> int:
    """Return the number of engines of which enough prefill and decode."""
    prefill = _find_prefill_engines(demand, traits.objective_s)
    slots = max(1, traits.slots) * _MAX_SLOT_SHARE
    decode = max(1, math.ceil(demand.streams / slots))
    # Two of three engines prefill, and the number that decodes is rounded up.
    for_prefill = prefill + math.ceil(prefill / (_ENGINES_PER_DECODE - 1))
    for_decode = (decode - 1) * _ENGINES_PER_DECODE + 1
    return max(MIN_SIZE, for_prefill, for_decode)


def count_prefill_engines(engines: int) -> int:
    """Return how many of a number of engines prefill."""
    return engines - math.ceil(engines / _ENGINES_PER_DECODE)


def _find_prefill_engines(demand: Demand, objective_s: float) -> int:
    load = demand.prefill_s
    engines = max(1, math.ceil(load / _MAX_PREFILL_SHARE))
    max_wait_s = objective_s * _MAX_WAIT_SHARE
    if not max_wait_s:
        return engines
    # Each engine more divides the wait, so few steps suffice.
    mean_s = demand.mean_prefill_s
    while _may_exceed(max_wait_s, load, mean_s, engines):
        engines += 1
    return engines


def _may_exceed(
    max_wait_s: float, load: float, mean_s: float, engines: int
) -> bool:
    """Whether the mean wait is over a limit.

    If all prefills waited, the mean would be ``mean_s / (engines - load)``.
    For many engines this bound is enough, and costs nothing.
    """
    if mean_s <= max_wait_s * (engines - load):
        return False
    return estimate_wait_s(load, mean_s, engines) > max_wait_s


def estimate_wait_s(load: float, mean_s: float, engines: int) -> float:
    """Return the mean wait for one of several engines, in seconds.

    This is Erlang's formula for random arrivals and durations with a common
    queue. ``load`` is in engine-seconds per second, below ``engines``, and
    ``mean_s`` the mean duration.
    """
    if not load:
        return 0
    # The blocking probability, by the usual recursion over the engines.
    blocked = 1.0
    for count in range(1, engines + 1):
        blocked = load * blocked / (count + load * blocked)
    waiting = blocked / (1 - load / engines * (1 - blocked))
    return waiting * mean_s / (engines - load)
