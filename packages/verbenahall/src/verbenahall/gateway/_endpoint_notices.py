"""Records what endpoints state about themselves in their answers."""

from typing import final

from returns.maybe import Some

from verbenahall import journal, metrics
from verbenahall.backoff import read_retry_after
from verbenahall.gateway._hooks import format_incarnation
from verbenahall.platform import AnswerHead
from verbenahall.roster import Entry, Roster, record_leaving


@final
class EndpointNotices:
    """Records endpoints that announce their leaving or request a backoff."""

    __slots__ = ('_roster',)

    def __init__(self, roster: Roster) -> None:
        """Record leaving endpoints in a roster."""
        self._roster = roster

    def record_answer(
        self, endpoint: Entry, answer_head: AnswerHead, source: str
    ) -> None:
        """Record the head of an answer to a call of the kind ``source``.

        A misdirected request was answered by another endpoint, so its answer
        states nothing about this one.
        """
        if answer_head.misdirected:
            return
        if answer_head.leaving:
            self._record_leaving(endpoint, source)
        if answer_head.retry_after:
            self._record_backoff(endpoint, answer_head, source)

    def _record_leaving(self, endpoint: Entry, source: str) -> None:
        if not record_leaving(self._roster, endpoint.name, endpoint.born):
            return
        metrics.LEAVING_ANNOUNCED.add(source)
        journal.write_decision(
            'leaving_announced',
            endpoint=format_incarnation(endpoint),
            source=source,
        )

    def _record_backoff(
        self, endpoint: Entry, answer_head: AnswerHead, source: str
    ) -> None:
        found = read_retry_after(answer_head.retry_after, answer_head.date)
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
