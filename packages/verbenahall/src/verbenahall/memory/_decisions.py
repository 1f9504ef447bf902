"""Which connections give up what they hold when memory runs short.

Those yield first that transfer least: a client that sends or reads at an
ordinary pace is ahead of one that has stopped, whoever came first.
"""

import heapq
from collections.abc import Iterable, Sequence
from typing import Final

from verbenahall.memory._state import AccountState, Activity, Share

#: Bytes of a request above which it is large, and reserves its whole length.
SMALL_BYTES: Final = 131_072
#: Bytes that each transfer is credited with, so that one that has just begun
#: is not the slowest. One that moves no more than that in a second has stopped.
_CREDIT_BYTES: Final = 65_536
#: Period over which the rate of a body is measured, in seconds.
_MARK_S: Final = 1.0
#: A large body that would take longer than this to end is slow, in seconds: no
#: caller waits that long for its answer.
_SLOW_S: Final = 10.0
#: Smallest time that a rate is computed for, in seconds.
_MIN_S: Final = 0.001
#: Divisor of the bound of all connections: so much more is freed at once if
#: there are clients that have stopped.
_SPARE_DIVISOR: Final = 16


def receive(
    account: AccountState,
    share: Share,
    size: int,
    now: float,
    copies: int = 0,
) -> int:
    """Count bytes that a connection has received.

    ``copies`` are the bytes that their copies take. Return by how many bytes
    all of them exceed the bounds; 0 within these.
    """
    if not share.count:
        start_transfer(share, now)
    elif now - share.marked_at > _MARK_S:
        share.rate = _measure_rate(share, now)
        share.marked_at = now
        share.marked = share.moved
    share.moved += size
    return hold(account, share, size + copies)


def hold(account: AccountState, share: Share, size: int) -> int:
    """Count bytes that a connection holds, or that the kernel holds for it.

    Return by how many bytes all of them exceed the bounds; 0 within these.
    """
    if share.is_closed:
        return 0
    account.holding[share] = None
    share.count += size
    account.requests += size
    if share.yields:
        share.going += size
        account.going += size
    return max(0, _find_excess(account))


def release(account: AccountState, share: Share, size: int) -> None:
    """Stop counting bytes that a connection does not hold any more."""
    freed = min(size, share.count)
    share.count -= freed
    share.behind = min(share.behind, share.count)
    account.requests -= freed
    if share.yields:
        freed = min(freed, share.going)
        share.going -= freed
        account.going -= freed


def start_transfer(share: Share, now: float) -> None:
    """Measure the rate of a connection from now on."""
    share.since = now
    share.moved = 0
    share.marked = 0
    share.marked_at = now
    share.rate = float('inf')


def start_unread(account: AccountState, share: Share, now: float) -> None:
    """Measure how fast a client reads an answer.

    A connection that has dropped what was sent ahead may have to yield again,
    now with all that it holds.
    """
    account.going -= share.going
    share.going = 0
    share.yields = False
    share.activity = Activity.UNREAD
    start_transfer(share, now)


def reserve(
    account: AccountState, share: Share, length: int, now: float
) -> Sequence[Share] | None:
    """Reserve room for a large body of ``length`` bytes.

    Return the slow bodies that must yield to it, or None without room.
    """
    missing = account.reserved + length - account.bounds.large
    victims = []
    if missing > 0:
        slow = [one for one in account.holding if is_slow(one, now)]
        if sum(one.reserved for one in slow) < missing:
            return None
        while missing > 0:
            victims.append(slow.pop(0))
            missing -= victims[-1].reserved
            _mark_yielding(account, victims[-1])
    if not share.is_closed:
        share.reserved = length
        account.reserved += length
    return victims


def is_slow(share: Share, now: float) -> bool:
    """Whether a large body that is being received takes too long."""
    is_receiving = share.activity is Activity.RECEIVING and not share.yields
    if not is_receiving or not share.reserved or now - share.since < _MARK_S:
        return False
    rate = share.rate
    if now - share.marked_at > _MARK_S:
        rate = _measure_rate(share, now)
    return share.reserved - share.moved > rate * _SLOW_S


def find_missing_for_answer(account: AccountState, size: int) -> int:
    """Return how many bytes are missing for ``size`` more of an answer."""
    bytes_left = account.bounds.total - account.held + account.going
    return max(0, size - bytes_left)


def finish(account: AccountState, share: Share, left: int = 0) -> None:
    """Release what a request held; ``left`` bytes came behind it."""
    left = 0 if share.is_closed else left
    account.requests += left - share.count
    account.reserved -= share.reserved
    account.going -= share.going
    share.count = left
    share.behind = min(share.behind, left)
    share.reserved = 0
    share.going = 0
    share.unsent = 0
    share.yields = False
    share.activity = Activity.RECEIVING
    if left:
        account.holding[share] = None
    else:
        account.holding.pop(share, None)


def find_victims(
    account: AccountState, missing: int, now: float
) -> Sequence[Share]:
    """Return shares that hold ``missing`` bytes; the slowest yield first."""
    victims = []
    spare = account.bounds.total // _SPARE_DIVISOR
    candidates = [one for one in account.holding if _may_yield(one)]
    candidates.sort(key=lambda one: _find_rate(one, now))
    for share in candidates:
        if _find_rate(share, now) >= _CREDIT_BYTES:
            spare = 0
        if missing + spare <= 0:
            break
        victims.append(share)
        _mark_yielding(account, share)
        missing -= share.going
    return victims


def find_slowest(
    account: AccountState, shares: Iterable[Share], most: int, now: float
) -> Sequence[Share]:
    """Return up to ``most`` shares whose connections are to make room.

    They have received or sent for a second at least. Where a request runs, the
    connection stays. One that holds nothing is idle, or has ended.
    """
    candidates = (
        one
        for one in shares
        if one in account.holding
        and _may_yield(one)
        and one.activity is not Activity.SENT_AHEAD
        and now - one.since > _MARK_S
    )
    slowest = heapq.nsmallest(
        most, candidates, key=lambda one: _find_rate(one, now)
    )
    for share in slowest:
        _mark_yielding(account, share)
    return slowest


def _find_excess(account: AccountState) -> int:
    """Return by how much the bounds are exceeded, negative within them."""
    bounds = account.bounds
    requests = account.requests - account.going
    return max(
        requests - bounds.requests,
        requests + account.answers - bounds.total,
    )


def _may_yield(share: Share) -> bool:
    return not share.yields and share.activity is not Activity.RUNNING


def _measure_rate(share: Share, now: float) -> float:
    """Return the rate since the mark, in bytes a second."""
    return (share.moved - share.marked) / max(now - share.marked_at, _MIN_S)


def _find_rate(share: Share, now: float) -> float:
    """Return how fast a connection transfers, in bytes a second."""
    moved = share.moved + _CREDIT_BYTES
    return moved / max(now - share.since, _MIN_S)


def _mark_yielding(account: AccountState, share: Share) -> None:
    share.yields = True
    is_running = share.activity is Activity.SENT_AHEAD
    share.going = share.behind if is_running else share.count + share.unsent
    account.going += share.going
    account.reserved -= share.reserved
    share.reserved = 0
