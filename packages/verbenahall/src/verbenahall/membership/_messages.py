"""Messages, rules and enumerations of membership."""

import dataclasses
import enum
from typing import Final, final

from verbenahall.fleet import Endpoint, EndpointStatus


@final
class ListStatus(enum.Enum):
    """How the platform's list shows a member.

    ``DOUBTED`` is a member that disappeared together with more others than a
    list may remove at once. Its status depends on whether it answers.
    """

    SHOWN = 'shown'
    LEAVING = 'leaving'
    GONE = 'gone'
    DOUBTED = 'doubted'


@final
class StatusReason(enum.Enum):
    """The reason for a member's status; the values are logged."""

    ADDRESS_TAKEN = 'address_taken'
    LIST_LEAVING = 'list_leaving'
    LIST_GONE = 'list_gone'
    TOLD_LEAVING = 'told_leaving'
    FAILING = 'failing'
    DOUBTED_FAILING = 'doubted_failing'
    PEERS_SUSPECT = 'peers_suspect'
    ANSWERS = 'answers'


@dataclasses.dataclass(frozen=True, slots=True)
class ListEntry:
    """One entry of the platform's list."""

    endpoint: Endpoint
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ListAnswer:
    """The platform's complete list; each change increases ``version``."""

    version: int
    entries: tuple[ListEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StateReport:
    """Whether an endpoint reported that it leaves, and when.

    ``reported_at`` is in monotonic seconds of this process. For a report
    that a peer forwarded it is computed from the age.
    """

    leaving: bool
    reported_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChange:
    """A change of a member's status, with its reason."""

    endpoint: Endpoint
    before: EndpointStatus | None
    after: EndpointStatus
    reason: StatusReason
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRules:
    """Limits of the decisions; times in seconds.

    A member becomes unresponsive after ``failures`` failures in a row, or
    after two that are ``silent_after_s`` apart without an answer between
    them. Each time that it becomes unresponsive again within
    ``flap_window_s`` of its recovery, it needs one more answer to recover, up
    to ``flap_limit`` more.

    A single failure is enough if ``suspecting_peers`` peers have reported
    failures within ``suspicion_s``. Leaving notices are forwarded up to the
    age ``notice_lifetime_s``. The delay between probes of an endpoint grows
    from ``probe_first_s`` to ``probe_max_s``, and at most ``probes_at_once``
    endpoints are probed together. Removals from the list are counted over
    ``removal_window_s``. A member that has been off the list for
    ``expire_after_s`` and is not live is removed. The list may show a
    replaced incarnation for ``list_lag_s``.
    """

    failures: int = 3
    silent_after_s: float = 2.0
    suspecting_peers: int = 2
    suspicion_s: float = 3.0
    notice_lifetime_s: float = 10.0
    flap_window_s: float = 30.0
    flap_limit: int = 4
    probe_first_s: float = 0.5
    probe_max_s: float = 5.0
    probes_at_once: int = 4
    removal_window_s: float = 60.0
    expire_after_s: float = 60.0
    list_lag_s: float = 30.0


DEFAULT_RULES: Final = MembershipRules()


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """An endpoint's announcement that it leaves, forwarded with its age."""

    name: str
    incarnation: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """The number of a peer's failures in a row with an endpoint."""

    name: str
    incarnation: str
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """An instance's readiness and settings offset."""

    ready: bool
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat between instances of a data centre.

    It holds ages and no timestamps, since clocks of two machines differ.
    """

    sender: str
    incarnation: str
    report: InstanceStatus
    leaving: bool
    leaving_notices: tuple[LeavingNotice, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """A peer's last report about itself, and when it was received."""

    incarnation: str
    report: InstanceStatus
    received_at: float
