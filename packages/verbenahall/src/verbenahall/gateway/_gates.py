"""What a request passes before it leaves to an endpoint."""

from typing import Protocol, final

from verbenahall.platform import AnswerFacts
from verbenahall.requests import Limited
from verbenahall.roster import Entry


class Gate(Protocol):
    """Holds back what an endpoint cannot take."""

    async def enter(self, endpoint: Entry, left_s: float) -> Limited | None:
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
class OpenGate:
    """Holds back nothing."""

    __slots__ = ()

    async def enter(self, endpoint: Entry, left_s: float) -> Limited | None:
        """Let every request leave."""

    def note_answer(
        self,
        endpoint: Entry,
        facts: AnswerFacts,
        sent_at: float,
    ) -> None:
        """Learn nothing."""


def name_start(endpoint: Entry) -> str:
    """Return a name that another start of the endpoint does not have."""
    return f'{endpoint.name}/{endpoint.born}'
