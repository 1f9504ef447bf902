"""Divides engines into groups and ranks the instances that schedule them.

Every instance computes both from the engines and the peers that it knows. Two
instances that know different ones may use two schedulers for one group for a
while. Each of these then sees only a part of the load, but no request is lost.
"""

import collections
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

import xxhash

from verbenahall.fleet import Role
from verbenahall.peers import PeerTable, list_live_peers
from verbenahall.placement import Work
from verbenahall.roster import Entry
from verbenahall.routing import rank_by_rendezvous

#: Up to this number of peers, a load report reaches all of them within a fifth
#: of a second. In a fleet of that size an instance chooses engines as well as a
#: scheduler would, and saves the round trip to it.
_MAX_DIRECT_PEERS: Final = 10
#: Approximate maximum of engines scheduled by one instance. With more engines,
#: choosing among them would take a noticeable part of its processor time.
_MAX_GROUP_ENGINES: Final = 32
#: Minimum average of engines for each data centre at which data centres have
#: groups of their own. With fewer engines, a burst would find no engine to
#: spill over to.
_MIN_GROUP_ENGINES: Final = 6
#: The data centre of a group that spans all of them.
_ALL_DATA_CENTRES: Final = ''
#: Groups that a request may go to because of its prefix: the one that has it
#: cached, and another one if the first is overloaded or unreachable.
_CANDIDATE_GROUPS: Final = 2
#: Seconds without a heartbeat after which a peer of the local data centre is
#: not used as a scheduler: twice the longest interval between heartbeats.
_HEARTBEAT_TIMEOUT_S: Final = 1.3


def needs_scheduler(peer_table: PeerTable) -> bool:
    """Whether the fleet is too large for instances to choose by themselves."""
    return len(peer_table.peers) > _MAX_DIRECT_PEERS


def is_local(group: str, peer_table: PeerTable) -> bool:
    """Whether heartbeats of the schedulers of a group are received here."""
    return _get_group_data_centre(group) in {
        peer_table.data_centre,
        _ALL_DATA_CENTRES,
    }


def rank_groups(
    work: Work,
    engines: Sequence[Entry],
    data_centre: str = '',
) -> Sequence[str]:
    """Return the groups for a prompt, the one that has its prefix cached first.

    Groups are weighted by their number of prefill engines, and only those with
    a decode engine can serve. The last one is in the local data centre, for
    the case that this data centre is cut off from all others.
    """
    names = _name_groups(engines)
    decoding = {names[one.name] for one in engines if one.role is Role.DECODE}
    prefilling = [one.name for one in engines if one.role is Role.PREFILL]
    candidates = [name for name in prefilling if names[name] in decoding]
    ranked = rank_by_rendezvous(work.affinity_key, candidates)
    groups = dict.fromkeys(names[name] for name in ranked)
    ordered = [*groups, *sorted(decoding - groups.keys())]
    local = [
        one for one in ordered if _get_group_data_centre(one) == data_centre
    ]
    selected = (*ordered[:_CANDIDATE_GROUPS], *local[:1])
    return list(dict.fromkeys(selected))


def list_groups(engines: Sequence[Entry]) -> Sequence[str]:
    """Return the groups of the engines of a service."""
    return sorted(set(_name_groups(engines).values()))


def list_group_engines(group: str, engines: Sequence[Entry]) -> Sequence[Entry]:
    """Return the engines of a group."""
    names = _name_groups(engines)
    return [one for one in engines if names[one.name] == group]


def rank_schedulers(
    group: str,
    peer_table: PeerTable,
    now: float,
    avoided: Collection[str] = (),
) -> Sequence[str]:
    """Return the instances that may schedule a group, preferred ones first.

    They are in the data centre of the group; any instance may schedule a group
    that spans all data centres. Instances with more processor capacity come
    first, because scheduling takes some of it in addition to the work for
    their own callers. No heartbeats are received from other data centres, so
    instances there are assumed to run unless they are in ``avoided``.
    """
    data_centre = _get_group_data_centre(group)
    if is_local(group, peer_table):
        instance_names: Iterable[str] = [
            peer_table.name,
            *list_live_peers(peer_table, now, _HEARTBEAT_TIMEOUT_S),
        ]
    else:
        instance_names = peer_table.peers
    candidates = [
        name
        for name in instance_names
        if name not in avoided
        and data_centre
        in {_get_instance_data_centre(peer_table, name), _ALL_DATA_CENTRES}
    ]
    ranked = rank_by_rendezvous(group, candidates)
    return sorted(ranked, key=lambda name: -_round_cores(peer_table, name))


def _round_cores(peer_table: PeerTable, name: str) -> float:
    """Return the processor capacity of an instance, rounded to whole cores."""
    peer = peer_table.peers.get(name)
    return round(peer_table.cores if peer is None else peer.cores)


def _get_group_data_centre(group: str) -> str:
    """Return the data centre of a group, empty if it spans all."""
    return group.rpartition('/')[0]


def _get_instance_data_centre(peer_table: PeerTable, name: str) -> str:
    """Return the data centre of an instance."""
    peer = peer_table.peers.get(name)
    return peer_table.data_centre if peer is None else peer.data_centre


def _name_groups(engines: Sequence[Entry]) -> dict[str, str]:
    """Return the group of each engine, named after its data centre.

    A service with few engines is one group. The number of groups in a data
    centre is a power of two, so that it rarely changes when engines join or
    leave.
    """
    counts = collections.Counter(one.data_centre for one in engines)
    if len(engines) < _MIN_GROUP_ENGINES * len(counts):
        # The few engines of each data centre are needed by all callers.
        group_data_centres = dict.fromkeys(counts, _ALL_DATA_CENTRES)
        counts = collections.Counter({_ALL_DATA_CENTRES: len(engines)})
    else:
        group_data_centres = {name: name for name in counts}
    group_counts = {
        name: _count_groups(count) for name, count in counts.items()
    }
    return {
        one.name: _name_group(
            one.name, group_data_centres[one.data_centre], group_counts
        )
        for one in engines
    }


def _count_groups(engines: int) -> int:
    target = max(1, engines / _MAX_GROUP_ENGINES)
    return 1 << math.ceil(math.log2(target))


def _name_group(
    engine: str, data_centre: str, group_counts: Mapping[str, int]
) -> str:
    number = xxhash.xxh64_intdigest(engine.encode()) % group_counts[data_centre]
    return f'{data_centre}/{number}'
