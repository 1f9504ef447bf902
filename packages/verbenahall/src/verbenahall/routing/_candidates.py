"""Candidate endpoints, and the subset of them that an instance uses.

Each instance picks its own subset by rendezvous hashing, so instances do not
all send to the same few endpoints.
"""

import dataclasses
import functools
import heapq
import random
from collections.abc import Iterable, Sequence
from typing import Final, final

import xxhash

from verbenahall.fleet import Endpoint, Role
from verbenahall.routing._workload_mix import WorkloadMix

#: Maximum number of endpoints that one instance chooses among.
SUBSET_SIZE: Final = 24
#: Maximum number of cached sort keys, one for each pair of instance and
#: endpoint.
_RANK_CACHE_SIZE: Final = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that can serve the request, and its role."""

    endpoint: Endpoint
    role: Role = Role.MIXED


@final
class RoutingState:
    """What one instance keeps for routing.

    ``mixes`` holds the recent mix of prompt lengths of each model, estimated
    from the requests that this instance routed.
    """

    __slots__ = ('instance', 'data_centre', 'mixes', 'random')

    def __init__(
        self,
        instance: str,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """Create the state of one instance.

        Each instance needs an ``rng`` with a seed of its own.
        """
        self.instance = instance
        self.data_centre = data_centre
        self.random = rng
        self.mixes: dict[str, WorkloadMix] = {}


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their rendezvous weight for a key, lowest first.

    All instances compute the same order, and removing a name does not change
    the order of the others.
    """
    return sorted(
        names, key=lambda name: (compute_rendezvous_weight(key, name), name)
    )


def select_subset(
    instance: str,
    candidates: Sequence[Candidate],
    size: int = SUBSET_SIZE,
) -> Sequence[Candidate]:
    """Return at most ``size`` candidates, a stable subset per instance."""
    if len(candidates) <= size:
        return candidates
    return heapq.nsmallest(
        size,
        candidates,
        key=lambda candidate: _rank_endpoint(
            instance,
            candidate.endpoint.name,
        ),
    )


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank_endpoint(instance: str, name: str) -> tuple[int, str]:
    """Return the sort key of an endpoint in an instance's subset.

    Cached: hashing all endpoints of a data centre for each request would
    take most of the time of a selection at the planned fleet size.
    """
    return compute_rendezvous_weight(instance, name), name


def compute_rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of a name for a key, equal on all instances."""
    return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode())
