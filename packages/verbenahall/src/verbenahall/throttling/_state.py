"""The rates that endpoints advertise, and the times of their next permits."""

import dataclasses
from collections.abc import Collection
from typing import final


@dataclasses.dataclass(frozen=True, slots=True)
class AdvertisedRate:
    """Requests a second that an endpoint accepts, and when it was recorded."""

    rate: float
    advertised_at: float


@final
class RateTable:
    """Advertised rates by the endpoint's incarnation.

    ``next_at`` holds the time of the next permit for each endpoint whose
    limiter this instance is. ``timed_out_at`` holds the time of the last permit
    request to each other instance that timed out.
    """

    __slots__ = ('next_at', 'rates', 'timed_out_at')

    def __init__(self) -> None:
        """Start without rates."""
        self.next_at: dict[str, float] = {}
        self.rates: dict[str, AdvertisedRate] = {}
        self.timed_out_at: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether the table holds no state of any endpoint."""
        return not (self.rates or self.next_at)

    def is_limited(self, incarnation: str) -> bool:
        """Whether an endpoint advertises a rate."""
        return incarnation in self.rates

    def retain(self, incarnations: Collection[str]) -> None:
        """Remove the state of endpoints that are no longer listed."""
        for table in (self.rates, self.next_at):
            for incarnation in table.keys() - incarnations:
                table.pop(incarnation)
