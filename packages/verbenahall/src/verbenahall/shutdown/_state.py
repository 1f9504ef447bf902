"""The state of a graceful stop."""

from typing import Final, final

from verbenahall.shutdown._messages import DEFAULT_TIMING, Phase, StopTiming

_FINISHING: Final = frozenset(
    (Phase.REFUSING, Phase.FINISHING, Phase.HANDING_OVER, Phase.GONE),
)
_CUTTING: Final = frozenset((Phase.HANDING_OVER, Phase.GONE))


@final
class ShutdownState:
    """The phase, the time it was entered, and when the stop was requested."""

    __slots__ = ('timing', 'phase', 'entered_at', 'requested_at')

    def __init__(self, timing: StopTiming = DEFAULT_TIMING) -> None:
        """Start in the serving phase."""
        self.timing = timing
        self.phase = Phase.SERVING
        self.entered_at = float('-inf')
        self.requested_at: float | None = None

    @property
    def stopping(self) -> bool:
        """Whether a stop was requested."""
        return self.phase is not Phase.SERVING

    def find_left_s(self, now: float) -> float:
        """Return what is left of the grace period, infinite while serving."""
        if self.requested_at is None:
            return float('inf')
        return self.requested_at + self.timing.grace_s - now

    @property
    def cutting(self) -> bool:
        """Whether the grace period is over."""
        return self.phase in _CUTTING

    @property
    def finishing(self) -> bool:
        """Whether new requests must be rejected.

        It is true once the listener closes. Idle connections stay open for a
        while longer, and a stream that is accepted on one of them would be cut
        off at the end of the grace period.
        """
        return self.phase in _FINISHING
