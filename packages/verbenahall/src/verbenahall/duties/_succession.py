"""Looks after the holder of a duty, and succeeds one that is gone."""

from typing import Final, final

from verbenahall.clock import Clock
from verbenahall.duties._lease import DutyLease
from verbenahall.peers import PeerBook, find_rank

#: Instances that look after a holder, each in its turn.
_STANDBYS: Final = 3
#: Time from one of them to the next, in seconds.
_TURN_S: Final = 1.0
#: Time until peers are heard after a start, in seconds: who stands first is
#: not known before.
_SETTLED_S: Final = 2.0
#: Pause before a claim is tried again, in seconds.
_PAUSE_S: Final = 0.4


@final
class Succession:
    """One instance's candidacy for a duty that another one may hold.

    A holder renews its lease at least once in ``period_s``. Few instances look
    at the lease so often, in an order that all of them agree on, so that the
    store is read seldom and a successor has waited for long when it claims.
    """

    __slots__ = (
        '_book',
        '_lease',
        '_look_at',
        '_now',
        '_period_s',
        '_seen',
        '_tried_at',
        '_wants',
    )

    def __init__(
        self,
        lease: DutyLease,
        book: PeerBook,
        now: Clock,
        period_s: float,
    ) -> None:
        """Look for the first time once the peers are heard."""
        self._book = book
        self._lease = lease
        self._look_at: float | None = None
        self._now = now
        self._period_s = period_s
        self._seen = 0
        self._tried_at = -float('inf')
        self._wants = False

    async def step(self) -> bool:
        """Look or claim if it is time to; True once the lease is held."""
        now = self._now()
        if self._look_at is None:
            self._look_at = now + _SETTLED_S
        if now >= self._look_at:
            await self._look(self._look_at, now)
        if not self._wants or now - self._tried_at < _PAUSE_S:
            return False
        if self._lease.find_wait() > 0:
            return False
        return await self._claim(now)

    def note_lost(self) -> None:
        """Stand by again, behind whoever holds the duty now."""
        self._seen = self._lease.grant.last
        self._wants = False
        self._look_at = self._now() + self._period_s

    async def _look(self, due: float, now: float) -> None:
        rank = find_rank(self._book, self._lease.duty, now)
        if rank < _STANDBYS and now < due + rank * _TURN_S:
            return
        # A process that stood still has missed its looks and makes one.
        self._look_at = max(due, now - self._period_s) + self._period_s
        if rank < _STANDBYS:
            grant = await self._lease.look()
            self._wants = not grant.token or grant.last == self._seen
            self._seen = grant.last

    async def _claim(self, now: float) -> bool:
        self._tried_at = now
        if await self._lease.acquire() is not None:
            self._wants = False
            return True
        grant = self._lease.grant
        # Another one may have claimed it, or renewed its lease, meanwhile.
        self._wants = not grant.token or grant.last == self._seen
        return False
