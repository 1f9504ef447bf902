"""When an instance requests a topic from a peer, from whom, what it accepts."""

import dataclasses
import enum
import random
from collections.abc import Mapping, Sequence
from typing import Final, final

from verbenahall.peers import Peer, PeerTable, is_local_only
from verbenahall.store_relay._freshness import Confirmation
from verbenahall.store_relay._messages import TopicState

#: How long records have been missing before a refused instance requests them,
#: in seconds. The parts of one update arrive within this time.
_REORDER_S: Final = 0.05
#: The same if no call of the instance has failed, in seconds. An update that is
#: under way mostly arrives within this time.
_UPDATE_S: Final = 0.2
#: A peer without a heartbeat for this long no longer counts as live, in
#: seconds: twice the longest interval between two heartbeats.
_LIVE_S: Final = 1.2
#: How often a confirmation may be forwarded.
_MAX_HOPS: Final = 2
#: Confirmations of peers whose ages differ by less than this count as equal, in
#: seconds: otherwise all refused instances would choose the same peer.
_AGE_STEP_S: Final = 1.0
_HOLDER_RANK: Final = (-1, 0)
#: Age steps of a peer that has stated no confirmation.
_LAST_STEP: Final = 1000


@final
class Reason(enum.Enum):
    """Why an instance requests a topic from a peer."""

    NO_STATE = 'no_state'
    RETURNED = 'returned'
    MISSING = 'missing'
    OUTDATED = 'outdated'


@dataclasses.dataclass(frozen=True, slots=True)
class TopicView:
    """An instance's own copy of a topic.

    ``has_state`` is whether it was ever read whole, ``missing_s`` for how long
    records are known to be missing, 0 if none are. ``age_s`` is its age and
    ``relay_s`` the age from which a peer's confirmation is needed.
    ``is_refused`` is whether the last call to the store failed.
    ``is_superseded`` is whether a peer has read the topic in a later era, and
    ``is_cut`` whether the missing records are too long for an update.
    """

    has_state: bool
    missing_s: float
    age_s: float
    relay_s: float
    is_refused: bool
    is_superseded: bool = False
    is_cut: bool = False


def find_reason(view: TopicView) -> Reason | None:
    """Return why a peer is needed, None if it is not.

    Records that no update holds are requested at once, wherever they are: if
    each instance read them from the store, its link would carry them as often.
    """
    is_refused = view.is_refused
    update_s = _REORDER_S if is_refused else _UPDATE_S
    reasons = (
        (Reason.RETURNED, view.is_superseded),
        (Reason.NO_STATE, is_refused and not view.has_state),
        (Reason.MISSING, view.is_cut or view.missing_s > update_s),
        (Reason.OUTDATED, is_refused and view.age_s >= view.relay_s),
    )
    return next((reason for reason, holds in reasons if holds), None)


def list_candidates(
    peer_table: PeerTable,
    topic: str,
    avoided_until: Mapping[str, float],
    now: float,
    rng: random.Random,
    holders: Sequence[str] = (),
) -> Sequence[str]:
    """Return the names of the peers to request a topic from, best first.

    First come ``holders``, which have told of missing records, then peers whose
    heartbeats say that they follow the store, by the age of its last answer.
    If all instances of a data centre are refused, no heartbeat says so; then
    come instances of the other data centres, of which no heartbeats are
    received, and last the other live peers, which may have got the topic from
    elsewhere. Among equals the order is random, and peers that failed or were
    behind lately come after all others.
    """
    local_only = is_local_only(peer_table)
    found = [
        (
            _HOLDER_RANK
            if name in holders
            else _rank(peer_table, peer, topic, now),
            name,
        )
        for name, peer in peer_table.peers.items()
        if now - peer.last_heartbeat_at < _LIVE_S
        or (local_only and peer.data_centre != peer_table.data_centre)
        or name in holders
    ]
    rng.shuffle(found)
    found.sort(
        key=lambda one: (_find_avoided(avoided_until, one[1], now), one[0])
    )
    return [name for _, name in found]


def _find_avoided(
    avoided_until: Mapping[str, float], name: str, now: float
) -> float:
    """Return until when a peer is avoided, 0 if it is not."""
    until = avoided_until.get(name, 0)
    return until if until > now else 0


def _rank(
    peer_table: PeerTable, peer: Peer, topic: str, now: float
) -> tuple[int, int]:
    """Return the rank of a peer; the lowest is best."""
    is_live = now - peer.last_heartbeat_at < _LIVE_S
    if is_live and topic in peer.followed_positions:
        return 0, _find_age_steps(peer, topic, now)
    return (2, 0) if peer.data_centre == peer_table.data_centre else (1, 0)


def find_confirmation(
    state: TopicState, instance: str, sent_at: float
) -> Confirmation | None:
    """Return the confirmation that a peer's answer holds, None if it has none.

    It counts with the age of the store's own answer, from before the request
    was sent, so that two instances can't keep each other up to date without
    the store. One that this instance itself has given counts as none.
    """
    if state.origin == instance or state.hops >= _MAX_HOPS:
        return None
    at = sent_at - state.age_s
    return Confirmation(at, state.origin, state.hops + 1)


def _find_age_steps(peer: Peer, topic: str, now: float) -> int:
    confirmed = peer.confirmed.get(topic)
    if confirmed is None:
        return _LAST_STEP
    # The age is infinite if the heartbeat came before this instance's first
    # tick, so the bound goes before the conversion.
    return int(min(_LAST_STEP, (now - confirmed.at) / _AGE_STEP_S))
