"""Interfaces that senders call before a send and after its end.

The implementations are built after the core and replace the defaults here;
tests of other modules run with the defaults.
"""

from collections.abc import Collection
from typing import TYPE_CHECKING, Protocol, final

from aiohttp import web
from returns.result import Result

from verbenahall.errors import Problem
from verbenahall.hedging import Branch
from verbenahall.platform import AnswerHead
from verbenahall.requests import Limited
from verbenahall.roster import Entry

if TYPE_CHECKING:
    from verbenahall.gateway._attempts import Attempts
    from verbenahall.gateway._relay import EventRelay


class RateLimiter(Protocol):
    """Delays or refuses sends beyond the rate that an endpoint accepts."""

    async def acquire(self, endpoint: Entry, left_s: float) -> Limited | None:
        """Wait for a permit; return Limited if that would take too long.

        ``left_s`` is the time left for the response, in seconds.
        """

    def record_answer(
        self,
        endpoint: Entry,
        answer_head: AnswerHead,
        sent_at: float,
    ) -> None:
        """Record the rate in the response to a request sent at ``sent_at``."""


@final
class NoLimiter:
    """A rate limiter that permits every send."""

    __slots__ = ()

    async def acquire(self, endpoint: Entry, left_s: float) -> Limited | None:
        """Permit the send at once."""

    def record_answer(
        self,
        endpoint: Entry,
        answer_head: AnswerHead,
        sent_at: float,
    ) -> None:
        """Ignore the response."""


class StopClock(Protocol):
    """Tells how long this instance still serves."""

    def find_left_s(self, now: float) -> float:
        """Return the time until open requests are cut off, in seconds."""


@final
class NoStop:
    """The clock of an instance that is not stopped."""

    __slots__ = ()

    def find_left_s(self, now: float) -> float:
        """Return infinity."""
        return float('inf')


class CrashObserver(Protocol):
    """Receives lost connections and responses of endpoints."""

    def record_lost_connection(
        self, fingerprint: str, endpoint: Entry, parts: Collection[str] = ()
    ) -> None:
        """Record a connection that was lost while a request was open.

        ``parts`` are the keys of the parts on which the endpoint may have begun
        to write an answer.
        """

    def record_alive(self, endpoint: Entry, sent_at: float) -> None:
        """Record a response of an endpoint to a request sent at ``sent_at``."""

    def record_answered(
        self, fingerprint: str, parts: Collection[str] = ()
    ) -> None:
        """Record that a request received a complete response."""


@final
class NoObserver:
    """A crash observer that ignores everything."""

    __slots__ = ()

    def record_lost_connection(
        self, fingerprint: str, endpoint: Entry, parts: Collection[str] = ()
    ) -> None:
        """Ignore the lost connection."""

    def record_alive(self, endpoint: Entry, sent_at: float) -> None:
        """Ignore the response."""

    def record_answered(
        self, fingerprint: str, parts: Collection[str] = ()
    ) -> None:
        """Ignore the response."""


class Forwarder(Protocol):
    """Forwards calls to peers where this instance reaches no endpoint."""

    async def should_forward(self, attempts: 'Attempts') -> bool:
        """Whether the service of a call is not reached."""

    async def wait_checked(self, service: str) -> None:
        """Wait for the end of a check of the path that is under way."""

    async def run(
        self,
        attempts: 'Attempts',
        branch: Branch,
        relay: 'EventRelay | None' = None,
    ) -> Result[web.StreamResponse, Problem]:
        """Return the answer of a peer, or why there is none."""


@final
class NoForwarder:
    """A forwarder that forwards nothing."""

    __slots__ = ()

    async def should_forward(self, attempts: 'Attempts') -> bool:
        """Return False."""
        return False

    async def wait_checked(self, service: str) -> None:
        """Return at once."""

    async def run(
        self,
        attempts: 'Attempts',
        branch: Branch,
        relay: 'EventRelay | None' = None,
    ) -> Result[web.StreamResponse, Problem]:
        """Fail, as nothing is to be forwarded."""
        raise AssertionError('there is no forwarder')
