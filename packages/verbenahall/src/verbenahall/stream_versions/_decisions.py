"""Chooses the owners of streams, and the version at which they go on."""

import collections
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Final

from returns.maybe import Maybe, Nothing, Some

from verbenahall.peers import PeerTable, is_local_only, list_live_peers
from verbenahall.routing import rank_by_rendezvous
from verbenahall.stream_versions._messages import Evidence, Reply

#: Instances that keep a beginning. All of them and the author have to
#: end before the stream's version is unknown.
_OWNERS: Final = 3
#: Instances that are queried for each owner: two instances may see different
#: peers as live.
_QUERIED_PER_OWNER: Final = 3
_CLAIMS: Final = frozenset((Evidence.SOLE, Evidence.LISTED))
#: A peer whose last heartbeat is older than this is no owner, in seconds.
_LIVE_S: Final = 1.3


def has_owners(peer_table: PeerTable, now: float) -> bool:
    """Whether any peer can keep the beginning of a stream."""
    return bool(_list_live(peer_table, now))


def choose_owners(peer_table: PeerTable, key: str, now: float) -> list[str]:
    """Return the peers that keep a stream's beginning.

    They are in different data centres as far as there are enough, so that the
    loss of one leaves others.
    """
    live = _list_live(peer_table, now)
    return list(_pick(_rank_by_centre(peer_table, key, live), _OWNERS))


def choose_queried(peer_table: PeerTable, key: str) -> list[str]:
    """Return the peers that are queried for the version of a stream.

    Those without a heartbeat are included, as the author may have heard them.
    """
    names = peer_table.peers.keys()
    if not is_local_only(peer_table):
        return list(names)
    ranked = _rank_by_centre(peer_table, key, names)
    return list(_pick(ranked, _OWNERS * _QUERIED_PER_OWNER))


def decide_version(
    replies: Sequence[Reply],
    listed: Collection[str],
    queried: int = 1,
    *,
    is_confirmed: bool = True,
) -> Maybe[str]:
    """Return the version at which a stream goes on, Nothing if it is unknown.

    ``listed`` holds the versions that this instance knows of the service, and
    ``queried`` is the number of instances that could reply, this one included.
    ``is_confirmed`` is whether the store has confirmed this instance's list
    since the stream was taken up. A sole version counts only if nobody knows of
    another one. Without a confirmed list, most have to know the same one: those
    that are cut off from the others may have missed a second one.
    """
    recorded = {one.version for one in replies if _is(one, Evidence.RECORDED)}
    if recorded:
        return _find_only(recorded)
    if any(_is(one, Evidence.SEVERAL) for one in replies):
        return Nothing
    claims = [one for one in replies if one.evidence in _CLAIMS]
    has_confirmed = is_confirmed and any(
        _is(one, Evidence.SOLE) for one in claims
    )
    if not has_confirmed and len(claims) * 2 <= queried:
        return Nothing
    return _find_only({one.version for one in claims} | set(listed))


def _is(reply: Reply, evidence: Evidence) -> bool:
    return reply.evidence is evidence


def _find_only(versions: Collection[str]) -> Maybe[str]:
    if len(versions) == 1:
        return Some(next(iter(versions)))
    return Nothing


def _list_live(peer_table: PeerTable, now: float) -> Collection[str]:
    """Return the peers that run as far as is known.

    No heartbeats come from other data centres of a large fleet; instances there
    are assumed to run.
    """
    live = set(list_live_peers(peer_table, now, _LIVE_S))
    if is_local_only(peer_table):
        live.update(
            name
            for name, peer in peer_table.peers.items()
            if peer.data_centre != peer_table.data_centre
        )
    return live


def _rank_by_centre(
    peer_table: PeerTable, key: str, names: Collection[str]
) -> Mapping[str, Sequence[str]]:
    """Return the ranked peers of the first data centres for a key."""
    by_centre: dict[str, list[str]] = collections.defaultdict(list)
    for name in names:
        by_centre[peer_table.peers[name].data_centre].append(name)
    centres = rank_by_rendezvous(key, by_centre)[:_OWNERS]
    return {
        centre: rank_by_rendezvous(key, by_centre[centre]) for centre in centres
    }


def _pick(ranked: Mapping[str, Sequence[str]], count: int) -> Iterator[str]:
    """Yield names from each data centre in turn, at most ``count``."""
    picked = 0
    for rank in range(max(map(len, ranked.values()), default=0)):
        for names in ranked.values():
            if rank < len(names) and picked < count:
                picked += 1
                yield names[rank]
