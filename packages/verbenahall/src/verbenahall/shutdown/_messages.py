"""The phases of a graceful stop and the messages that drive them."""

import dataclasses
import enum
from typing import Final, final


@final
class Phase(enum.Enum):
    """A phase of the process between serving and exit."""

    SERVING = 'serving'
    NOT_READY = 'not_ready'
    REFUSING = 'refusing'
    FINISHING = 'finishing'
    HANDING_OVER = 'handing_over'
    GONE = 'gone'


@final
class Effect(enum.Enum):
    """An action of the shell on entering a phase."""

    ANNOUNCE_LEAVING = 'announce_leaving'
    CLOSE_LISTENERS = 'close_listeners'
    CUT_REMAINING = 'cut_remaining'
    HAND_OVER = 'hand_over'


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The platform or an operator requested the stop.

    ``at`` is the earliest time at which it may have been, in monotonic seconds,
    None for now.
    """

    at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A periodic check; ``in_flight`` requests are still open."""

    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver:
    """The hand-over hooks are done: leases are released."""


Message = StopRequested | Tick | HandedOver


@dataclasses.dataclass(frozen=True, slots=True)
class StopTiming:
    """Bounds of the phases in seconds.

    ``notice_s`` is the time for the balancer to notice that the instance is
    not ready, before the listener closes. ``linger_s`` keeps idle connections
    open after that: a caller's next request on one is answered with
    ``Connection: close`` instead of a reset. ``grace_s`` limits all phases
    before the hand-over, and ``hand_over_s`` the hand-over itself.
    """

    grace_s: float = 30.0
    notice_s: float = 2.0
    linger_s: float = 1.0
    hand_over_s: float = 2.0


DEFAULT_TIMING: Final = StopTiming()
