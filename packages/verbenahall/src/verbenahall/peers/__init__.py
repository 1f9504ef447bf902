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
    PeerBook,
    choose_due,
    find_heard,
    find_missing,
    greet,
    hear,
    is_sampled,
    tell_whom,
)
from verbenahall.peers._ranks import find_rank, list_first
from verbenahall.peers._topic_followers import (
    find_confirmed_at,
    find_latest_offset,
    is_covered_by_peers,
)

__all__ = (
    'ConfirmedOffset',
    'Heartbeat',
    'Peer',
    'PeerBook',
    'PeerExchange',
    'TopicUpdate',
    'choose_due',
    'decode_message',
    'encode_heartbeat',
    'encode_update',
    'find_confirmed_at',
    'find_heard',
    'find_latest_offset',
    'find_missing',
    'find_rank',
    'greet',
    'hear',
    'is_covered_by_peers',
    'list_first',
    'is_sampled',
    'split_update',
    'tell_whom',
)
