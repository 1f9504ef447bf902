"""The state of one queue for the decisions under overload."""

from typing import final

from verbenahall.overload._delays import EngineDelays
from verbenahall.overload._outcomes import GroupOutcomes
from verbenahall.overload._returns import ReturnTimes


@final
class OverloadState:
    """Delays by engine, outcomes by group, and return times of callers."""

    __slots__ = ('delays', 'outcomes', 'returns')

    def __init__(self) -> None:
        """Start as after a restart: nothing is known."""
        self.delays = EngineDelays()
        self.outcomes = GroupOutcomes()
        self.returns = ReturnTimes()
