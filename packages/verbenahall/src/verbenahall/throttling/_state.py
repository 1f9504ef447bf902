"""The rates that endpoints name, and when their next requests may leave."""

import dataclasses
from collections.abc import Collection
from typing import final


@dataclasses.dataclass(frozen=True, slots=True)
class NamedRate:
    """The requests a second that an endpoint takes, and since when."""

    rate: float
    named_at: float


@final
class RateTable:
    """Rates by the endpoint's start.

    ``next_at`` holds when the next request may leave, for those endpoints
    whose permits this instance gives. ``silent`` holds when instances that
    should give some did not answer.
    """

    __slots__ = ('next_at', 'rates', 'silent')

    def __init__(self) -> None:
        """Start without rates."""
        self.next_at: dict[str, float] = {}
        self.rates: dict[str, NamedRate] = {}
        self.silent: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is kept of any endpoint."""
        return not (self.rates or self.next_at)

    def is_limited(self, start: str) -> bool:
        """Whether an endpoint names a rate."""
        return start in self.rates

    def keep_only(self, starts: Collection[str]) -> None:
        """Forget the endpoints that are no longer listed."""
        for kept in (self.rates, self.next_at):
            for start in kept.keys() - starts:
                kept.pop(start)
