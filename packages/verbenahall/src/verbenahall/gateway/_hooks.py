"""What senders ask before a send, and tell of its end.

The parts that answer are built after the core, and are none in tests of other
parts.
"""

from typing import Protocol, final

from verbenahall.platform import AnswerFacts
from verbenahall.requests import Limited
from verbenahall.roster import Entry


class RateLimiter(Protocol):
    """Holds back what an endpoint cannot take."""

    async def acquire(self, endpoint: Entry, left_s: float) -> Limited | None:
        """Wait until a request may leave; Limited if that takes too long.

        ``left_s`` seconds are left for its answer.
        """

    def note_answer(
        self,
        endpoint: Entry,
        facts: AnswerFacts,
        sent_at: float,
    ) -> None:
        """Note what an answer to a request sent at a time names."""


@final
class NoLimiter:
    """Holds back nothing."""

    __slots__ = ()

    async def acquire(self, endpoint: Entry, left_s: float) -> Limited | None:
        """Let every request leave."""

    def note_answer(
        self,
        endpoint: Entry,
        facts: AnswerFacts,
        sent_at: float,
    ) -> None:
        """Learn nothing."""


class CrashObserver(Protocol):
    """Learns which requests ran where a connection was lost."""

    def note_lost(self, fingerprint: str, endpoint: Entry) -> None:
        """Note a connection that was lost with a request on it."""

    def note_answered(self, fingerprint: str) -> None:
        """Note that a request was answered whole."""


@final
class NoObserver:
    """Learns nothing."""

    __slots__ = ()

    def note_lost(self, fingerprint: str, endpoint: Entry) -> None:
        """Learn nothing."""

    def note_answered(self, fingerprint: str) -> None:
        """Learn nothing."""


def name_start(endpoint: Entry) -> str:
    """Return a name that another start of the endpoint does not have."""
    return f'{endpoint.name}/{endpoint.born}'
