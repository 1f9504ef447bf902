"""What instances tell each other about the work that they have open."""

from verbenahall.peers._messages import (
    TopicUpdate,
    Heartbeat,
    decode_message,
    encode_update,
    encode_heartbeat,
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
    'TopicUpdate',
    'Peer',
    'PeerBook',
    'PeerExchange',
    'Heartbeat',
    'choose_due',
    'decode_message',
    'encode_update',
    'encode_heartbeat',
    'find_confirmed_at',
    'find_latest_offset',
    'find_heard',
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
