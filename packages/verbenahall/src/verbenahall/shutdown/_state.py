"""Where a graceful stop stands."""

from typing import final

from verbenahall.shutdown._messages import DEFAULT_TIMING, Phase, StopTiming


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
