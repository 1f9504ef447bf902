"""Heartbeats and store updates that instances send to each other."""

from verbenahall.peers._contacts import (
    find_contact_rank,
    is_local_author,
    list_contacts,
)
from verbenahall.peers._messages import (
    Heartbeat,
    ShareReport,
    TopicUpdate,
    decode_message,
    encode_heartbeat,
    encode_shares,
    encode_update,
    split_update,
)
from verbenahall.peers._notices import NoticeChannel
from verbenahall.peers._ranks import (
    find_local_rank,
    find_rank,
    list_top_ranked,
)
from verbenahall.peers._shell import PeerExchange, forward_update
from verbenahall.peers._state import (
    ConfirmedPosition,
    Peer,
    PeerTable,
    add_peer,
    choose_due,
    has_unresponsive_peer,
    is_local_only,
    list_live_peers,
    list_recipients,
    record_heartbeat,
)
from verbenahall.peers._topic_followers import (
    find_confirmation,
    find_follower_rank,
    find_latest_position,
    is_covered_by_peers,
)

__all__ = (
    'ConfirmedPosition',
    'Heartbeat',
    'NoticeChannel',
    'Peer',
    'PeerExchange',
    'PeerTable',
    'ShareReport',
    'TopicUpdate',
    'add_peer',
    'choose_due',
    'decode_message',
    'encode_heartbeat',
    'encode_shares',
    'encode_update',
    'find_confirmation',
    'find_contact_rank',
    'find_follower_rank',
    'find_latest_position',
    'find_local_rank',
    'find_rank',
    'forward_update',
    'has_unresponsive_peer',
    'is_covered_by_peers',
    'is_local_author',
    'is_local_only',
    'list_contacts',
    'list_live_peers',
    'list_recipients',
    'list_top_ranked',
    'record_heartbeat',
    'split_update',
)
