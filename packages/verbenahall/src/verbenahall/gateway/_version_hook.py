"""The interface that flows of streams use to know software versions."""

from typing import Protocol, final

from returns.maybe import Maybe, Nothing

from verbenahall.gateway._messages import Call
from verbenahall.roster import Entry


class VersionFinder(Protocol):
    """Knows the software versions at which streams began."""

    def record_listed(self, entry: Entry) -> None:
        """Record an entry that was read from the store or a peer."""

    def record_begun(self, call: Call, engine: Entry) -> None:
        """Record that an engine brings the first event of a call's stream."""

    async def find(self, call: Call) -> Maybe[str]:
        """Return the version of the stream that a call takes up."""


@final
class NoVersionFinder:
    """A version finder that knows nothing."""

    __slots__ = ()

    def record_listed(self, entry: Entry) -> None:
        """Ignore the entry."""

    def record_begun(self, call: Call, engine: Entry) -> None:
        """Ignore the beginning."""

    async def find(self, call: Call) -> Maybe[str]:
        """Return Nothing."""
        return Nothing
