"""Decides when a process claims or renews the lease on a scope."""

from typing import Final

from verbenahall.authority._messages import (
    Claim,
    Grant,
    Idle,
    LeaseTiming,
    Renew,
    Step,
)
from verbenahall.authority._state import AuthorityState

#: Share of the lease after which its holder renews it.
_RENEW_AT_SHARE: Final = 1 / 3
#: Share of the lease after which an append is repeated if its record has not
#: been read back.
_RETRY_AT_SHARE: Final = 1 / 6


class LeaseCandidate:
    """State of one process as a candidate for the lease on one scope.

    ``sent`` maps an ``after`` offset to the time just before the first append
    with that offset was sent. ``last_append_at`` is the time of the latest
    append. ``delay_share`` (0 to 1) spreads the claims of the instances of a
    data centre in time.
    """

    __slots__ = ('delay_share', 'holder', 'last_append_at', 'scope', 'sent')

    def __init__(self, scope: str, holder: str, delay_share: float) -> None:
        """Start without any append sent.

        ``holder`` must be unique to this run of the process. A later run
        under the same name could not tell its own appends from those of the
        previous run that are still in transit.
        """
        self.scope = scope
        self.holder = holder
        self.delay_share = delay_share
        self.sent: dict[int, float] = {}
        self.last_append_at = -float('inf')


def record_sent(candidate: LeaseCandidate, after: int, now: float) -> None:
    """Record the time just before an append is sent.

    The earliest time for an offset is kept: the log may have accepted the
    first copy even though its response was lost.
    """
    candidate.sent.setdefault(after, now)
    candidate.last_append_at = now


def find_deadline(
    state: AuthorityState,
    candidate: LeaseCandidate,
    timing: LeaseTiming,
) -> float:
    """Return when this process's lease ends; minus infinity without one.

    A process holds the lease once it has read its own record back from the
    log. The lease is counted from the time just before that record was sent,
    so it starts here before another process can have read the record.
    """
    grant = state.find_grant(candidate.scope)
    if grant.token == 0 or grant.holder != candidate.holder:
        return -float('inf')
    sent_at = candidate.sent.get(grant.after, -float('inf'))
    return sent_at + grant.lease_s * (1 - timing.clock_rate)


def find_token(
    state: AuthorityState,
    candidate: LeaseCandidate,
    timing: LeaseTiming,
    now: float,
) -> int | None:
    """Return the fencing token while the lease is held, else None."""
    if now >= find_deadline(state, candidate, timing):
        return None
    return state.find_grant(candidate.scope).token


def choose_step(
    state: AuthorityState,
    candidate: LeaseCandidate,
    timing: LeaseTiming,
    now: float,
) -> Step:
    """Return the next append of this process, or how long to wait."""
    grant = state.find_grant(candidate.scope)
    _discard_superseded(candidate, grant)
    retry_at = candidate.last_append_at + timing.lease_s * _RETRY_AT_SHARE
    if now < retry_at:
        return Idle(retry_at)
    if grant.token and grant.holder == candidate.holder:
        return _choose_renewal(candidate, grant, now)
    due = find_claim_time(state, candidate, timing)
    return Claim(grant.last) if now >= due else Idle(due)


def _choose_renewal(
    candidate: LeaseCandidate, grant: Grant, now: float
) -> Step:
    sent_at = candidate.sent.get(grant.after, -float('inf'))
    due = sent_at + grant.lease_s * _RENEW_AT_SHARE
    return Renew(grant.last) if now >= due else Idle(due)


def find_claim_time(
    state: AuthorityState,
    candidate: LeaseCandidate,
    timing: LeaseTiming,
) -> float:
    """Return when this process may claim a scope that another one holds.

    The holder counts its lease from before it sent its record, and this
    process read that record later. So the lease has ended for the holder
    once a full lease, plus the clock difference and the margin, has passed
    since the record was read here.
    """
    grant = state.find_grant(candidate.scope)
    read_at = state.read_at.get(candidate.scope, -float('inf'))
    delay = candidate.delay_share * timing.lease_s * _RETRY_AT_SHARE
    if grant.token == 0:
        return read_at + delay
    wait = grant.lease_s * (1 + timing.clock_rate) + timing.margin_s
    return read_at + wait + delay


def _discard_superseded(candidate: LeaseCandidate, grant: Grant) -> None:
    for after in tuple(candidate.sent):
        if after < grant.after:
            candidate.sent.pop(after)
