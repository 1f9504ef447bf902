"""The state of one queue for the decisions under overload."""

import collections
from typing import final

from verbenahall.overload._delays import EngineDelays
from verbenahall.overload._outcomes import GroupOutcomes
from verbenahall.overload._returns import ReturnTimes


@final
class OverloadState:
    """Delays by engine, outcomes by group, and return times of callers.

    ``counts`` holds what the next report names, by outcome, and ``reported_at``
    when the last one was written.
    """

    __slots__ = ('counts', 'delays', 'outcomes', 'reported_at', 'returns')

    def __init__(self) -> None:
        """Start as after a restart: nothing is known."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.delays = EngineDelays()
        self.outcomes = GroupOutcomes()
        self.reported_at = -float('inf')
        self.returns = ReturnTimes()
