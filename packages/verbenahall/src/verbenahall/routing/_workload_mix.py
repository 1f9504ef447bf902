"""Recent work of one model, by prompt length."""

import math
from typing import final


@final
class WorkloadMix:
    """Recent work of long prompts and of other requests.

    Work is in output tokens and decays exponentially. ``long_prompt_engines``
    is the number of engines that currently take the long prompts.
    """

    __slots__ = ('long_prompt_engines', 'long_work', 'other_work', 'updated')

    def __init__(self) -> None:
        """Start with no work and no engine for long prompts."""
        self.long_work: float = 0
        self.other_work: float = 0
        self.updated: float = -math.inf
        self.long_prompt_engines = 0
