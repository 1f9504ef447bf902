"""Which instances follow a topic of the store on behalf of the others.

A change costs the store one call for each instance that follows the topic.
Therefore only two of the instances that receive each other's heartbeats
follow it, and forward what they read. There is no election: an instance
follows a topic unless two instances that are ranked before it report in their
heartbeats that the store answers them. An instance that is dead, frozen,
partitioned from the others or refused by the store is replaced within about
1.2 seconds.
"""

from collections.abc import Iterator, Sequence
from typing import Final

from verbenahall.peers._state import PeerTable, list_live_peers
from verbenahall.platform import get_era
from verbenahall.routing import rank_by_rendezvous

#: Followers of a topic among the instances that receive each other's
#: heartbeats. With one, each of its crashes would leave the others without
#: updates for ``_LIVE_S``.
_FOLLOWERS: Final = 2
#: A peer without a heartbeat for this long no longer counts as a follower, in
#: seconds: twice the longest interval between two heartbeats. A change must
#: be in force two seconds after the store has confirmed it.
_LIVE_S: Final = 1.2


def is_covered_by_peers(peer_table: PeerTable, topic: str, now: float) -> bool:
    """Whether enough peers ranked before this one follow a topic."""
    followers = [name for name, _ in _list_followers(peer_table, topic, now)]
    if len(followers) < _FOLLOWERS:
        return False
    return _find_rank(peer_table, topic, followers) >= _FOLLOWERS


def find_follower_rank(peer_table: PeerTable, topic: str, now: float) -> int:
    """Return how many live peers come before this one as followers."""
    live = list_live_peers(peer_table, now, _LIVE_S)
    return _find_rank(peer_table, topic, live)


def find_latest_position(peer_table: PeerTable, topic: str, now: float) -> int:
    """Return the highest position that a live peer has read, 0 if none has."""
    offsets = (offset for _, offset in _list_followers(peer_table, topic, now))
    return max(offsets, default=0)


def find_confirmation(
    peer_table: PeerTable, topic: str, position: int
) -> tuple[float, str]:
    """Return when the store confirmed a position as the newest, and to whom.

    Minus infinity and an empty name if no peer reports it. A confirmation of an
    earlier position also holds for a later one: an instance there has read all
    that the store held at the time of the confirmation. It does not hold for a
    position of another era, before or after a return of the store.
    """
    era = get_era(position)
    confirmed = (
        (peer.confirmed[topic], name)
        for name, peer in peer_table.peers.items()
        if topic in peer.confirmed
    )
    found = (
        (one.at, name)
        for one, name in confirmed
        if one.position <= position and get_era(one.position) == era
    )
    return max(found, default=(-float('inf'), ''))


def _find_rank(peer_table: PeerTable, topic: str, names: Sequence[str]) -> int:
    """Return how many of the named peers come before this instance.

    Instances with faster links come first: the followers read each record from
    the store, and send it to the others. Of similar ones the order is that of
    the rendezvous hash.
    """
    links = {
        name: _find_link_class(peer_table.peers[name].link_megabits)
        for name in names
    }
    links[peer_table.name] = _find_link_class(peer_table.link_megabits)
    ranked = sorted(
        rank_by_rendezvous(topic, list(links)),
        key=lambda name: links[name],
        reverse=True,
    )
    return ranked.index(peer_table.name)


def _find_link_class(megabits: float) -> int:
    """Return a class of similar bandwidths; a higher one is faster."""
    return int(max(1, megabits)).bit_length()


def _list_followers(
    peer_table: PeerTable,
    topic: str,
    now: float,
) -> Iterator[tuple[str, int]]:
    """Yield the live peers that follow the topic, with their offsets.

    A peer that sends its heartbeats to this instance also sends its updates.
    """
    for name, peer in peer_table.peers.items():
        if (
            topic in peer.followed_positions
            and now - peer.last_heartbeat_at < _LIVE_S
        ):
            yield name, peer.followed_positions[topic]
