"""Where a graceful stop stands."""

from typing import Final, final

from verbenahall.shutdown._messages import DEFAULT_TIMING, Phase, StopTiming

_FINISHING: Final = frozenset(
    (Phase.REFUSING, Phase.FINISHING, Phase.HANDING_OVER, Phase.GONE),
)


@final
class ShutdownState:
    """The phase, since when, and when the stop was asked for."""

    __slots__ = ('timing', 'phase', 'entered_at', 'asked_at')

    def __init__(self, timing: StopTiming = DEFAULT_TIMING) -> None:
        """Start serving."""
        self.timing = timing
        self.phase = Phase.SERVING
        self.entered_at = float('-inf')
        self.asked_at: float | None = None

    @property
    def stopping(self) -> bool:
        """Whether a stop was asked for."""
        return self.phase is not Phase.SERVING

    @property
    def finishing(self) -> bool:
        """Whether only what is open already is still to be answered.

        This begins when the listener closes: a stream that is taken from an
        idle connection a second later was cut by the end of the grace period.
        """
        return self.phase in _FINISHING
