"""Phases of a graceful stop and what drives them."""

import dataclasses
import enum
from typing import Final, final


@final
class Phase(enum.Enum):
    """Where the process stands between serving and gone."""

    SERVING = 'serving'
    NOT_READY = 'not_ready'
    REFUSING = 'refusing'
    FINISHING = 'finishing'
    HANDING_OVER = 'handing_over'
    GONE = 'gone'


@final
class Effect(enum.Enum):
    """What the shell does on entering a phase."""

    ANNOUNCE_LEAVING = 'announce_leaving'
    CLOSE_LISTENERS = 'close_listeners'
    CUT_REMAINING = 'cut_remaining'
    HAND_OVER = 'hand_over'


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """The platform or an operator asked the process to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time went by; ``in_flight`` requests are still open."""

    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver:
    """Leases are released and peers are told."""


Message = StopAsked | Tick | HandedOver


@dataclasses.dataclass(frozen=True, slots=True)
class StopTiming:
    """Bounds of the phases in seconds.

    ``notice_s`` lets the balancer see that the instance is not ready before
    the listener closes. ``linger_s`` keeps idle connections open after
    that, so that a caller's next request on one is answered and told to
    close, not reset. ``grace_s`` bounds everything before the hand-over.
    """

    grace_s: float = 30.0
    notice_s: float = 2.0
    linger_s: float = 1.0
    hand_over_s: float = 2.0


DEFAULT_TIMING: Final = StopTiming()
