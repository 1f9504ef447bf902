"""Standbys that check the lease on a duty and take over from the holder."""

from typing import Final, final

from verbenahall.clock import Clock
from verbenahall.duties._lease import DutyLease
from verbenahall.peers import PeerTable, find_rank

#: Number of instances that check the lease, one after the other.
_MAX_STANDBYS: Final = 3
#: Delay between the checks of two successive standbys, in seconds.
_RANK_DELAY_S: Final = 1.0
#: Delay of the first check after a start, in seconds: the standbys' ranks are
#: known only after the first heartbeats of the peers.
_STARTUP_DELAY_S: Final = 2.0
#: Least time between two attempts to claim the lease, in seconds.
_RETRY_INTERVAL_S: Final = 0.4


@final
class Succession:
    """One instance as a candidate for a duty that another may hold.

    A holder renews its lease at least once in ``period_s`` seconds. Only a few
    standbys check the lease once in this period, in an order that all instances
    compute alike. So the store is read seldom, and a successor has already
    been waiting for some time when the lease expires.
    """

    __slots__ = (
        '_attempted_at',
        '_check_at',
        '_lease',
        '_now',
        '_peer_table',
        '_period_s',
        '_seen_grant',
        '_should_claim',
    )

    def __init__(
        self,
        lease: DutyLease,
        peer_table: PeerTable,
        now: Clock,
        period_s: float,
    ) -> None:
        """Start without a check; the first ``step`` schedules one."""
        self._peer_table = peer_table
        self._lease = lease
        self._check_at: float | None = None
        self._now = now
        self._period_s = period_s
        self._seen_grant = 0
        self._attempted_at = -float('inf')
        self._should_claim = False

    async def step(self) -> bool:
        """Check or claim the lease if it is due; True once it is held."""
        now = self._now()
        if self._check_at is None:
            self._check_at = now + _STARTUP_DELAY_S
        if now >= self._check_at:
            await self._check_lease(self._check_at, now)
        if (
            not self._should_claim
            or now - self._attempted_at < _RETRY_INTERVAL_S
        ):
            return False
        if self._lease.find_wait_s() > 0:
            return False
        return await self._claim(now)

    def step_down(self) -> None:
        """Become a standby again after the loss of the lease."""
        self._seen_grant = self._lease.grant.last
        self._should_claim = False
        self._check_at = self._now() + self._period_s

    async def _check_lease(self, due: float, now: float) -> None:
        rank = find_rank(self._peer_table, self._lease.duty, now)
        if rank < _MAX_STANDBYS and now < due + rank * _RANK_DELAY_S:
            return
        # After a pause of the process, one check replaces all missed ones.
        self._check_at = max(due, now - self._period_s) + self._period_s
        if rank < _MAX_STANDBYS:
            grant = await self._lease.read()
            # An unchanged grant was not renewed since the last check.
            self._should_claim = (
                not grant.token or grant.last == self._seen_grant
            )
            self._seen_grant = grant.last

    async def _claim(self, now: float) -> bool:
        self._attempted_at = now
        if await self._lease.acquire() is not None:
            self._should_claim = False
            return True
        grant = self._lease.grant
        # Another instance may have claimed or renewed the lease meanwhile.
        self._should_claim = not grant.token or grant.last == self._seen_grant
        return False
