"""Tells connections to yield when the memory for all of them runs short."""

from collections.abc import Iterable, Sequence
from typing import Final, Protocol, final

from verbenahall import clock, journal, metrics
from verbenahall.memory import _decisions as decisions
from verbenahall.memory._state import AccountState, Activity, Bounds, Share

#: Interval at which yielding connections are logged at most, in seconds.
_LOG_S: Final = 1.0


class HoldingConnection(Protocol):
    """A connection whose bytes are counted."""

    def yield_memory(self) -> None:
        """Release all that the connection holds, at the latest by closing."""

    def count_unsent(self) -> int:
        """Return the number of bytes that the client has not read yet."""

    def end_unread(self) -> None:
        """Release what was counted of an answer that the client has read."""


@final
class MemoryAccount:
    """The account of all connections of a process.

    Each connection has a share, which counts what it holds::

        share = account.open(connection)
        account.receive(share, len(data))
        ...  # The request has ended.
        account.finish(share)
        account.close(share)

    When the bounds are exceeded, the slowest connections are told to yield.
    """

    __slots__ = ('state', '_connections', '_logged_at', '_now', '_yielded')

    def __init__(self, bounds: Bounds) -> None:
        """Start without a connection."""
        self.state = AccountState(bounds)
        self._connections: dict[Share, HoldingConnection] = {}
        self._logged_at: float = 0
        self._now = clock.monotonic
        self._yielded = 0

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def open(self, connection: HoldingConnection) -> Share:
        """Return the share of a new connection."""
        share = Share()
        self._connections[share] = connection
        return share

    def close(self, share: Share) -> None:
        """Release all that a connection holds that has ended."""
        share.is_closed = True
        decisions.finish(self.state, share)
        self._connections.pop(share, None)

    def receive(self, share: Share, size: int, copies: int = 0) -> None:
        """Count bytes that a connection has received, and copies of them.

        If no other connection can yield, it is this one that must.
        """
        now = self._now()
        missing = decisions.receive(self.state, share, size, now, copies)
        if missing:
            self._reclaim(missing, now)

    def finish(self, share: Share, left: int = 0) -> None:
        """Release what a request held; ``left`` bytes came behind it."""
        decisions.finish(self.state, share, left)

    def hold(self, share: Share, size: int) -> None:
        """Count bytes that the kernel holds because they can't be read."""
        missing = decisions.hold(self.state, share, size)
        if missing:
            self._reclaim(missing, self._now())

    def release(self, share: Share, size: int) -> None:
        """Stop counting bytes that the kernel does not hold any more."""
        decisions.release(self.state, share, size)

    def wait_unread(self, share: Share, size: int) -> None:
        """Count ``size`` bytes that a client does not read, from now on."""
        if share.is_closed:
            return
        share.unsent = self._connections[share].count_unsent()
        decisions.start_unread(self.state, share, self._now())
        self.hold(share, size)

    def reserve(self, share: Share, length: int) -> bool:
        """Reserve the length of a large body; False without room."""
        victims = decisions.reserve(self.state, share, length, self._now())
        if victims is None:
            return False
        self._notify(victims)
        return True

    def make_room(self, shares: Iterable[Share], most: int) -> int:
        """Have up to ``most`` slow connections yield; return their number.

        ``shares`` are those of a listener that has no connection left.
        """
        victims = decisions.find_slowest(self.state, shares, most, self._now())
        self._notify(victims)
        return len(victims)

    def add_answer(self, size: int) -> bool:
        """Count bytes of an answer; False, without counting, beyond bounds."""
        missing = decisions.find_missing_for_answer(self.state, size)
        if missing:
            self._reclaim(missing, self._now())
            if decisions.find_missing_for_answer(self.state, size):
                return False
        self.state.answers += size
        return True

    def release_answer(self, size: int) -> None:
        """Stop counting bytes of an answer."""
        self.state.answers -= size

    def _reclaim(self, missing: int, now: float) -> None:
        """Have connections yield that hold ``missing`` bytes."""
        held = self.state.held
        for share in tuple(self.state.holding):
            if share.activity is Activity.UNREAD:
                self._update_unread(share)
        missing -= held - self.state.held
        if missing > 0:
            self._notify(decisions.find_victims(self.state, missing, now))

    def _update_unread(self, share: Share) -> None:
        """Note what a client has read of an answer since it was looked at."""
        connection = self._connections[share]
        unsent = connection.count_unsent()
        share.moved += max(0, share.unsent - unsent)
        share.unsent = unsent
        if not unsent:
            connection.end_unread()

    def _notify(self, victims: Sequence[Share]) -> None:
        for share in victims:
            metrics.MEMORY_YIELDED.add(share.activity.value)
            self._connections[share].yield_memory()
        self._yielded += len(victims)
        now = self._now()
        if self._yielded and now - self._logged_at > _LOG_S:
            self._logged_at = now
            state = self.state
            journal.write_decision(
                'memory_yielded',
                connections=self._yielded,
                requests=state.requests,
                answers=state.answers,
                limit=state.bounds.total,
            )
            self._yielded = 0
