"""Candidates, and the subsets that keep instances from herding."""

import dataclasses
import functools
import heapq
import random
from collections.abc import Iterable, Sequence
from typing import Final, final

import xxhash

from verbenahall.fleet import Endpoint, Role
from verbenahall.routing._mix import Mix

#: Endpoints that one instance chooses among; further ones are spill-over.
SUBSET_SIZE: Final = 24
_RANKS_KEPT: Final = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could take the request, and its role."""

    endpoint: Endpoint
    role: Role = Role.MIXED


@final
class RoutingState:
    """An instance's own name, data centre and random source."""

    __slots__ = ('instance', 'data_centre', 'mixes', 'random')

    def __init__(
        self,
        instance: str,
        data_centre: str,
        source: random.Random,
    ) -> None:
        """Keep who chooses; ``source`` is seeded apart on each instance."""
        self.instance = instance
        self.data_centre = data_centre
        self.random = source
        #: What this instance has seen arrive, by model.
        self.mixes: dict[str, Mix] = {}


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their rendezvous weight for a key, highest first.

    All instances get the same order; taking a name away moves no other.
    """
    return sorted(
        names, key=lambda name: (weigh_by_rendezvous(key, name), name)
    )


def take_subset(
    instance: str,
    candidates: Sequence[Candidate],
    size: int = SUBSET_SIZE,
) -> Sequence[Candidate]:
    """Return the candidates that this instance looks at."""
    if len(candidates) <= size:
        return candidates
    return heapq.nsmallest(
        size,
        candidates,
        key=lambda found: _rank_of(instance, found.endpoint.name),
    )


@functools.lru_cache(maxsize=_RANKS_KEPT)
def _rank_of(instance: str, name: str) -> tuple[int, str]:
    """Return where an endpoint stands for this instance.

    Kept, since hashing a data centre's endpoints anew for each request is
    what a choice at the planned size would mostly spend its time on.
    """
    return weigh_by_rendezvous(instance, name), name


def weigh_by_rendezvous(key: str, name: str) -> int:
    """Return the weight of a name for a key, alike on all instances."""
    return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode())
