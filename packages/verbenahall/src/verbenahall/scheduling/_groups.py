"""Which engines form a group, and which instance schedules it.

Every instance works both out from the engines that it knows and from its
peers. Two that know different ones may use two schedulers for one group for
a while: each of these sees a part of the load only, and no request is lost.
"""

import collections
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

import xxhash

from verbenahall.fleet import Role
from verbenahall.peers import PeerBook, find_heard
from verbenahall.placement import Work
from verbenahall.roster import Entry
from verbenahall.routing import rank_by_rendezvous

#: Up to so many peers, each is told of a send within a fifth of a second, and
#: an own choice is as good as a scheduler's without the way to it.
_FEW_PEERS: Final = 10
#: Engines that one instance schedules at most, about. With more of them,
#: choosing among them would take a noticeable part of its processor time.
_MOST_ENGINES: Final = 32
#: Engines of a data centre that are a group of their own, at least on average;
#: fewer would leave a burst no engine to spill over to.
_FEWEST_ENGINES: Final = 6
#: Stands for the data centre of a group that spans all of them.
_ANYWHERE: Final = ''
#: Groups by prefix that a request may go to: the one that keeps its prefix,
#: and one more when that one is overloaded or out of reach.
_GROUPS: Final = 2
#: A peer of the own data centre that was not heard for this long schedules
#: nothing, in seconds: twice the longest pause between two words.
_HEARD_S: Final = 1.3


def needs_scheduler(book: PeerBook) -> bool:
    """Whether the fleet is too large for each instance to decide by itself."""
    return len(book.peers) > _FEW_PEERS


def is_near(group: str, book: PeerBook) -> bool:
    """Whether a group's schedulers are heard, as those of the own centre."""
    return _find_centre(group) in {book.data_centre, _ANYWHERE}


def rank_groups(
    work: Work,
    engines: Sequence[Entry],
    data_centre: str = '',
) -> Sequence[str]:
    """Return the groups for a prompt, the one that keeps its prefix first.

    A group counts by its engines, so that each gets its share, and only one
    that has a decode engine can serve. The last one is of the own data
    centre: when that is cut off, it is the only one within reach.
    """
    names = _name_groups(engines)
    serving = {names[one.name] for one in engines if one.role is Role.DECODE}
    prefilling = [one.name for one in engines if one.role is Role.PREFILL]
    keeping = [name for name in prefilling if names[name] in serving]
    ranked = rank_by_rendezvous(work.home_key, keeping)
    groups = dict.fromkeys(names[name] for name in ranked)
    ordered = [*groups, *sorted(serving - groups.keys())]
    near = [one for one in ordered if _find_centre(one) == data_centre]
    chosen = (*ordered[:_GROUPS], *near[:1])
    return list(dict.fromkeys(chosen))


def list_group(group: str, engines: Sequence[Entry]) -> Sequence[Entry]:
    """Return the engines of a group."""
    names = _name_groups(engines)
    return [one for one in engines if names[one.name] == group]


def rank_schedulers(
    group: str,
    book: PeerBook,
    now: float,
    avoided: Collection[str] = (),
) -> Sequence[str]:
    """Return who may schedule a group: instances of its data centre.

    Those with the fastest processors stand first, as a scheduler needs some
    of it beside its own callers. Any may schedule a group that spans all.
    Those of other data centres are not heard, so they are believed to run
    unless they are in ``avoided``.
    """
    data_centre = _find_centre(group)
    if is_near(group, book):
        found: Iterable[str] = [book.name, *find_heard(book, now, _HEARD_S)]
    else:
        found = book.peers
    candidates = [
        name
        for name in found
        if name not in avoided
        and data_centre in {_find_home(book, name), _ANYWHERE}
    ]
    ranked = rank_by_rendezvous(group, candidates)
    return sorted(ranked, key=lambda name: -_find_cores(book, name))


def _find_cores(book: PeerBook, name: str) -> float:
    """Return an instance's processor, without differences of no account."""
    peer = book.peers.get(name)
    return round(book.cores if peer is None else peer.cores)


def _find_centre(group: str) -> str:
    """Return the data centre of a group."""
    return group.rpartition('/')[0]


def _find_home(book: PeerBook, name: str) -> str:
    """Return the data centre of an instance."""
    peer = book.peers.get(name)
    return book.data_centre if peer is None else peer.data_centre


def _name_groups(engines: Sequence[Entry]) -> dict[str, str]:
    """Return each engine's group, named after its data centre.

    A service with few engines is one group. The number of groups in a data
    centre is a power of two, so that it seldom changes as engines come and
    go.
    """
    counts = collections.Counter(one.data_centre for one in engines)
    if len(engines) < _FEWEST_ENGINES * len(counts):
        # Every data centre's few engines are needed by all.
        homes = dict.fromkeys(counts, _ANYWHERE)
        counts = collections.Counter({_ANYWHERE: len(engines)})
    else:
        homes = {name: name for name in counts}
    splits = {name: _count_groups(count) for name, count in counts.items()}
    return {
        one.name: _name_group(one.name, homes[one.data_centre], splits)
        for one in engines
    }


def _count_groups(engines: int) -> int:
    wanted = max(1, engines / _MOST_ENGINES)
    return 1 << math.ceil(math.log2(wanted))


def _name_group(engine: str, home: str, splits: Mapping[str, int]) -> str:
    number = xxhash.xxh64_intdigest(engine.encode()) % splits[home]
    return f'{home}/{number}'
