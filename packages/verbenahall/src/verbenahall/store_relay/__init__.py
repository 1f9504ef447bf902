"""Topics of the store at an instance that the store refuses, through peers."""

from verbenahall.store_relay._client import RelayClient
from verbenahall.store_relay._copy import TopicCopy
from verbenahall.store_relay._decisions import (
    Reason,
    TopicView,
    find_confirmation,
    find_reason,
    list_candidates,
)
from verbenahall.store_relay._fetches import RelayDependencies
from verbenahall.store_relay._freshness import Confirmation, Freshness
from verbenahall.store_relay._handlers import TopicHandler
from verbenahall.store_relay._messages import (
    RELAY_PATH,
    TopicState,
    decode_state,
    encode_body,
    encode_head,
)
from verbenahall.store_relay._reachability import Received, StoreReachability
from verbenahall.store_relay._server import RelayServer
from verbenahall.store_relay._spacing import StoreSpacing
from verbenahall.store_relay._standby import Standby
from verbenahall.store_relay._state import RelayState
from verbenahall.store_relay._topic import LocalTopic
from verbenahall.store_relay._waits import wait_for_event
from verbenahall.store_relay._writer import RelayWriter

__all__ = (
    'RELAY_PATH',
    'Confirmation',
    'Freshness',
    'LocalTopic',
    'Reason',
    'Received',
    'RelayClient',
    'RelayDependencies',
    'RelayServer',
    'RelayState',
    'RelayWriter',
    'Standby',
    'StoreReachability',
    'StoreSpacing',
    'TopicCopy',
    'TopicHandler',
    'TopicState',
    'TopicView',
    'decode_state',
    'encode_body',
    'encode_head',
    'find_confirmation',
    'find_reason',
    'list_candidates',
    'wait_for_event',
)
