"""Tracks which endpoints and instances are live, leaving or unresponsive."""

from verbenahall.membership._decisions import (
    all_endpoints,
    due_probes,
    find,
    live,
    observe_answer,
    observe_failure,
    observe_leaving,
    observe_word,
    get_status,
)
from verbenahall.membership._list_updates import apply_list
from verbenahall.membership._messages import (
    DEFAULT_RULES,
    ListEntry,
    ListStatus,
    MembershipRules,
    InstanceStatus,
    PeerStatus,
    StatusReason,
    StatusChange,
)
from verbenahall.membership._peer_shell import PeerExchange
from verbenahall.membership._poller import ListPoller
from verbenahall.membership._prober import Prober
from verbenahall.membership._state import MembershipState

__all__ = (
    'DEFAULT_RULES',
    'ListEntry',
    'ListPoller',
    'ListStatus',
    'MembershipRules',
    'MembershipState',
    'InstanceStatus',
    'PeerExchange',
    'PeerStatus',
    'Prober',
    'StatusReason',
    'StatusChange',
    'all_endpoints',
    'apply_list',
    'due_probes',
    'find',
    'live',
    'observe_answer',
    'observe_failure',
    'observe_leaving',
    'observe_word',
    'get_status',
)
