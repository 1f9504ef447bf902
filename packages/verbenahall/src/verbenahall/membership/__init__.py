"""Tracks which endpoints and instances are live, leaving or unresponsive."""

from verbenahall.membership._decisions import (
    list_endpoints,
    take_due_probes,
    find_endpoint,
    list_live,
    observe_answer,
    observe_failure,
    observe_leaving,
    observe_state,
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
    'list_endpoints',
    'apply_list',
    'take_due_probes',
    'find_endpoint',
    'list_live',
    'observe_answer',
    'observe_failure',
    'observe_leaving',
    'observe_state',
    'get_status',
)
