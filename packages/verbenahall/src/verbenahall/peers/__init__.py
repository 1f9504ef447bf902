"""Heartbeats and store updates that instances send to each other."""

from verbenahall.peers._messages import (
    Heartbeat,
    TopicUpdate,
    decode_message,
    encode_heartbeat,
    encode_update,
    split_update,
)
from verbenahall.peers._shell import PeerExchange
from verbenahall.peers._state import (
    ConfirmedOffset,
    Peer,
    PeerTable,
    choose_due,
    list_live_peers,
    has_unresponsive_peer,
    add_peer,
    record_heartbeat,
    is_local_only,
    list_recipients,
)
from verbenahall.peers._ranks import find_rank, list_top_ranked
from verbenahall.peers._topic_followers import (
    find_confirmed_at,
    find_latest_offset,
    is_covered_by_peers,
)

__all__ = (
    'ConfirmedOffset',
    'Heartbeat',
    'Peer',
    'PeerTable',
    'PeerExchange',
    'TopicUpdate',
    'choose_due',
    'decode_message',
    'encode_heartbeat',
    'encode_update',
    'find_confirmed_at',
    'list_live_peers',
    'find_latest_offset',
    'has_unresponsive_peer',
    'find_rank',
    'add_peer',
    'record_heartbeat',
    'is_covered_by_peers',
    'list_top_ranked',
    'is_local_only',
    'split_update',
    'list_recipients',
)
