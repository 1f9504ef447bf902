"""The recent mix of long prompts and other work of one model."""

import math
from typing import final


@final
class Mix:
    """Recent work of long prompts and of the rest, decaying with time."""

    __slots__ = ('gathered', 'long', 'rest', 'updated')

    def __init__(self) -> None:
        """Start with no work seen and nothing gathered."""
        self.long: float = 0
        self.rest: float = 0
        self.updated: float = -math.inf
        self.gathered = 0
