"""Records what endpoints state about themselves in their answers."""

import random
from collections.abc import Callable
from typing import Final, final

from returns.maybe import Some

from verbenahall import journal, metrics
from verbenahall.backoff import BackoffTable, read_retry_after
from verbenahall.clock import Clock
from verbenahall.endpoint_health._health import EndpointHealthTable
from verbenahall.platform import AnswerHead
from verbenahall.roster import (
    Entry,
    Incarnation,
    Roster,
    format_incarnation,
    record_leaving,
)

#: Range of the random factor of a requested backoff: instances that were
#: refused together must not return together, and none returns early.
_JITTER: Final = (1.0, 1.1)


@final
class EndpointNotices:
    """Records endpoints that announce their leaving or request a backoff."""

    __slots__ = (
        'on_leaving',
        '_backoffs',
        '_health',
        '_now',
        '_random',
        '_roster',
    )

    def __init__(
        self,
        roster: Roster,
        backoffs: BackoffTable,
        health: EndpointHealthTable,
        rng: random.Random,
        now: Clock,
    ) -> None:
        """Record leaving endpoints in the roster, backoffs in their table."""
        #: Called once for each incarnation whose answer says that it leaves.
        self.on_leaving: Callable[[Incarnation], object] = bool
        self._roster = roster
        self._backoffs = backoffs
        self._health = health
        self._random = rng
        self._now = now

    def find_backoff_s(self, endpoint: Entry) -> float:
        """Return the rest of an endpoint's backoff in seconds, 0 for none."""
        return self._backoffs.find_left_s(endpoint.incarnation, self._now())

    def record_leaving(self, endpoint: Entry, source: str) -> None:
        """Record that an endpoint says that it leaves."""
        if not record_leaving(self._roster, endpoint.incarnation):
            return
        metrics.LEAVING_ANNOUNCED.add(source)
        journal.write_decision(
            'leaving_announced',
            endpoint=format_incarnation(endpoint),
            source=source,
        )
        self.on_leaving(endpoint.incarnation)

    def record_answer(
        self, endpoint: Entry, answer_head: AnswerHead, source: str
    ) -> None:
        """Record the head of an answer to a call of the kind ``source``.

        A misdirected request was answered by another endpoint, so its answer
        states nothing about this one.
        """
        if answer_head.misdirected:
            return
        self._health.get(endpoint.name).answered_at = self._now()
        if answer_head.leaving:
            self.record_leaving(endpoint, source)
        if answer_head.retry_after:
            self._record_backoff(endpoint, answer_head, source)

    def _record_backoff(
        self, endpoint: Entry, answer_head: AnswerHead, source: str
    ) -> None:
        found = read_retry_after(answer_head.retry_after, answer_head.date)
        if isinstance(found, Some):
            for_s = found.unwrap() * self._random.uniform(*_JITTER)
            self._backoffs.begin_backoff(
                endpoint.incarnation, for_s, self._now()
            )
        metrics.BACKOFFS_REQUESTED.add(
            source, 'valid' if isinstance(found, Some) else 'invalid'
        )
        journal.write_decision(
            'backoff_requested',
            endpoint=format_incarnation(endpoint),
            source=source,
            stated=answer_head.retry_after,
            for_s=journal.round_to_ms(found.value_or(0)),
        )
