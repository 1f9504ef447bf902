"""The state of endpoints and peers as one instance sees it."""

import collections
from collections.abc import Callable
from typing import final

from verbenahall import journal
from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.membership._messages import (
    DEFAULT_RULES,
    ListStatus,
    MembershipRules,
    PeerStatus,
    StateReport,
    StatusChange,
    StatusReason,
)

#: Endpoints of one kind in one data centre.
Group = tuple[EndpointKind, str]


@final
class Member:
    """One incarnation of an endpoint, with observations since ``born_at``.

    ``suspicions`` maps a peer's name to the time of its last report that
    this member fails. ``unresponsive`` is also set while the member leaves.
    ``former`` holds the incarnations that this one replaced, so that a
    lagging list can't restore them.
    """

    __slots__ = (
        'endpoint',
        'list_status',
        'unlisted_at',
        'state_report',
        'failures',
        'first_failure_at',
        'last_failure_at',
        'successes',
        'recovered_at',
        'flaps',
        'probe_at',
        'probe_delay',
        'suspicions',
        'former',
        'born_at',
        'unresponsive',
        'status',
        'reason',
    )

    def __init__(
        self,
        endpoint: Endpoint,
        former: tuple[str, ...],
        born_at: float,
    ) -> None:
        """Create a member without observations."""
        self.endpoint = endpoint
        self.list_status = ListStatus.SHOWN
        self.unlisted_at: float | None = None
        self.state_report: StateReport | None = None
        self.failures = 0
        self.first_failure_at = float('-inf')
        self.last_failure_at = float('-inf')
        self.successes = 0
        self.recovered_at: float | None = None
        self.flaps = 0
        self.probe_at = float('-inf')
        self.probe_delay = float(0)
        self.suspicions: dict[str, float] = {}
        self.former = former
        self.born_at = born_at
        self.unresponsive = False
        self.status: EndpointStatus | None = None
        self.reason = StatusReason.ANSWERS


def _write_change(change: StatusChange) -> None:
    journal.write_decision(
        'standing',
        endpoint=change.endpoint.name,
        incarnation=change.endpoint.incarnation,
        before=change.before.value if change.before else 'unknown',
        after=change.after.value,
        reason=change.reason.value,
        failures=change.failures,
    )


@final
class MembershipState:
    """All members by name, the owners of addresses and the peers' reports.

    ``notify`` is called on each change of status and writes a decision line
    by default. ``revision`` increases when a member is added, removed or
    replaced, for users that keep a list of members. ``live_cache`` is cleared
    on each change, so that a request costs one look-up.
    """

    __slots__ = (
        'rules',
        'members',
        'address_owners',
        'removals',
        'peers',
        'live_cache',
        'revision',
        'next_expiry_at',
        'first_listed_at',
        'listed_at',
        'notify',
    )

    def __init__(
        self,
        rules: MembershipRules = DEFAULT_RULES,
        notify: Callable[[StatusChange], None] = _write_change,
    ) -> None:
        """Create a state without members."""
        self.rules = rules
        self.members: dict[str, Member] = {}
        self.address_owners: dict[str, str] = {}
        self.removals: dict[Group, collections.deque[float]] = {}
        self.revision = 0
        self.live_cache: dict[
            tuple[EndpointKind, str], tuple[Endpoint, ...]
        ] = {}
        self.peers: dict[str, PeerStatus] = {}
        self.next_expiry_at = float('-inf')
        self.first_listed_at: float | None = None
        self.listed_at: float | None = None
        self.notify = notify
