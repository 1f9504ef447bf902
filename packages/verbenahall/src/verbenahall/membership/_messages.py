"""What membership hears and says."""

import dataclasses
import enum
from typing import Final, final

from verbenahall.fleet import Endpoint, Standing


@final
class Listing(enum.Enum):
    """How the platform's list shows a member.

    ``DOUBTED`` is a member that vanished together with more others than a
    list may take away at once; what it answers decides about it.
    """

    SHOWN = 'shown'
    LEAVING = 'leaving'
    GONE = 'gone'
    DOUBTED = 'doubted'


@final
class Sign(enum.Enum):
    """Why a member has its standing; the value stands in decision lines."""

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
    """The platform's whole list; ``version`` grows with each change."""

    version: int
    entries: tuple[ListEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StateReport:
    """What an endpoint said of itself, and when that was said.

    ``reported_at`` is in this process's monotonic seconds, also for a word that
    a peer passed on with its age.
    """

    leaving: bool
    reported_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StandingChange:
    """One member's standing changed, by the sign that decided."""

    endpoint: Endpoint
    before: Standing | None
    after: Standing
    reason: Sign
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRules:
    """Bounds of the decisions; seconds and counts.

    ``failures`` in a row make a member silent, as do two that lie
    ``silent_after_s`` apart with no answer between. A member that falls
    silent within ``flap_window_s`` of its recovery needs one more answer to
    recover each time, up to ``flap_limit`` more.
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
    """An endpoint's word that it leaves, passed on with its age."""

    name: str
    incarnation: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A peer's failures in a row with an endpoint."""

    name: str
    incarnation: str
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnReport:
    """What an instance says of itself: readiness and settings offset."""

    ready: bool
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat between instances of a data centre.

    Ages stand in for times, since no two clocks agree.
    """

    sender: str
    incarnation: str
    report: OwnReport
    leaving: bool
    leaving_notices: tuple[LeavingNotice, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """What a peer last said of itself, and when that was heard."""

    incarnation: str
    report: OwnReport
    received_at: float
