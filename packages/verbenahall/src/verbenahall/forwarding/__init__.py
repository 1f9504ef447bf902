"""Requests that a peer serves for an instance that reaches no endpoint.

A request takes one hop at most, and an instance that refuses a forwarded
request has not run it.
"""

from verbenahall.forwarding._decisions import (
    choose_least_busy,
    choose_peer,
    find_refusal,
    is_frozen,
)
from verbenahall.forwarding._messages import (
    HOP_HEADER,
    REFUSED_HEADER,
    VERSION_HEADER,
    Hop,
    HopRefusal,
    decode_hop,
    encode_hop,
    read_hop,
)
from verbenahall.forwarding._records import (
    record_forward_ended,
    record_forwarded,
    record_hop_refused,
)
from verbenahall.forwarding._state import (
    ChosenPeer,
    OpenForwards,
    PeerCandidate,
    ReceiverState,
)

__all__ = (
    'ChosenPeer',
    'HOP_HEADER',
    'Hop',
    'HopRefusal',
    'OpenForwards',
    'PeerCandidate',
    'REFUSED_HEADER',
    'ReceiverState',
    'VERSION_HEADER',
    'choose_least_busy',
    'choose_peer',
    'decode_hop',
    'encode_hop',
    'find_refusal',
    'is_frozen',
    'read_hop',
    'record_forward_ended',
    'record_forwarded',
    'record_hop_refused',
)
