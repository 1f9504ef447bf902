"""Tracks which endpoints and instances are live, leaving or unresponsive."""

from verbenahall.membership._decisions import (
    find_endpoint,
    get_status,
    list_endpoints,
    list_live,
    observe_answer,
    observe_failure,
    observe_leaving,
    observe_state,
    take_due_probes,
)
from verbenahall.membership._list_updates import apply_list
from verbenahall.membership._messages import (
    DEFAULT_RULES,
    InstanceStatus,
    ListEntry,
    ListStatus,
    MembershipRules,
    PeerStatus,
    StatusChange,
    StatusReason,
)
from verbenahall.membership._peer_shell import PeerExchange
from verbenahall.membership._poller import ListPoller
from verbenahall.membership._prober import Prober
from verbenahall.membership._state import MembershipState

__all__ = (
    'DEFAULT_RULES',
    'InstanceStatus',
    'ListEntry',
    'ListPoller',
    'ListStatus',
    'MembershipRules',
    'MembershipState',
    'PeerExchange',
    'PeerStatus',
    'Prober',
    'StatusChange',
    'StatusReason',
    'apply_list',
    'find_endpoint',
    'get_status',
    'list_endpoints',
    'list_live',
    'observe_answer',
    'observe_failure',
    'observe_leaving',
    'observe_state',
    'take_due_probes',
)
