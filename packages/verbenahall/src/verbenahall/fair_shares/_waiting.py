"""The requests that wait in a queue, and the repeats among them."""

import dataclasses
from collections.abc import Sequence
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from verbenahall.placement import QueuedRequest

#: Fingerprint and caller of a request.
_Attempt = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Changes:
    """Requests that have left, that begin to wait, and that are repeats."""

    left: list['QueuedRequest'] = dataclasses.field(default_factory=list)
    begun: list['QueuedRequest'] = dataclasses.field(default_factory=list)
    repeats: list['QueuedRequest'] = dataclasses.field(default_factory=list)


@final
class WaitingRequests:
    """The requests of the last marking.

    A repeat has the fingerprint and the API key of a request that waits. It is
    beyond its share for as long, and takes its place when that request leaves
    the queue.
    """

    __slots__ = ('_attempts', '_requests')

    def __init__(self) -> None:
        """Start empty."""
        self._attempts: dict[_Attempt, list[QueuedRequest]] = {}
        self._requests: set[QueuedRequest] = set()

    def update(self, waiting: Sequence['QueuedRequest']) -> Changes:
        """Set who waits; return what has changed, and mark the repeats."""
        now_waiting = set(waiting)
        changes = Changes()
        if now_waiting == self._requests:
            return changes
        for gone in self._requests - now_waiting:
            self._remove(gone, changes)
        for pending in waiting:
            if pending not in self._requests:
                self._add(pending, changes)
        self._requests = now_waiting
        return changes

    def clear(self) -> None:
        """Forget all requests."""
        self._attempts.clear()
        self._requests.clear()

    def _add(self, pending: 'QueuedRequest', changes: Changes) -> None:
        attempt = _find_attempt(pending)
        if attempt is None:
            changes.begun.append(pending)
            return
        attempts = self._attempts.setdefault(attempt, [])
        attempts.append(pending)
        pending.beyond_share = len(attempts) > 1
        added = changes.repeats if pending.beyond_share else changes.begun
        added.append(pending)

    def _remove(
        self,
        gone: 'QueuedRequest',
        changes: Changes,
    ) -> None:
        attempt = _find_attempt(gone)
        if attempt is None:
            changes.left.append(gone)
            return
        attempts = self._attempts[attempt]
        was_first = attempts[0] is gone
        attempts.remove(gone)
        if not attempts:
            self._attempts.pop(attempt)
        if gone in changes.begun:
            # The request before it has left at the same time.
            changes.begun.remove(gone)
        elif was_first:
            changes.left.append(gone)
        if was_first:
            changes.begun.extend(attempts[:1])


def _find_attempt(pending: 'QueuedRequest') -> _Attempt | None:
    """Return what all attempts of a known caller at a request share."""
    source = pending.source
    if source.fingerprint and source.caller:
        return (source.fingerprint, source.caller)
    return None
