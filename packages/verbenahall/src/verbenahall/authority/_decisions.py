"""What one instance does about one scope: claim, renew, hold or wait."""

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

#: A holder renews when this share of its lease has passed.
_RENEW_AT_SHARE: Final = 1 / 3
#: An append without a visible effect is tried again after this share.
_RETRY_AT_SHARE: Final = 1 / 6


class Candidacy:
    """One process's own part in one scope.

    ``sent`` maps the offset that an append named as ``after`` to the moment
    before the first such append was sent. ``delay_share`` (0 to 1) spreads
    the claims of the instances of a data centre.
    """

    __slots__ = ('delay_share', 'holder', 'scope', 'sent', 'tried_at')

    def __init__(self, scope: str, holder: str, delay_share: float) -> None:
        """Start without any append sent.

        ``holder`` must never be used by another process, nor by a later run
        of this one, which could not know what its forerunner still sends.
        """
        self.scope = scope
        self.holder = holder
        self.delay_share = delay_share
        self.sent: dict[int, float] = {}
        self.tried_at = -float('inf')


def note_sent(candidacy: Candidacy, after: int, now: float) -> None:
    """Keep when an append was about to be sent.

    Only the earliest moment counts: the copy that the log accepts may be the
    first one, though its answer was lost.
    """
    candidacy.sent.setdefault(after, now)
    candidacy.tried_at = now


def find_deadline(
    state: AuthorityState,
    candidacy: Candidacy,
    timing: LeaseTiming,
) -> float:
    """Return when this process's lease ends; minus infinity without one.

    The holder learns that it holds by reading its own record back. It counts
    from before that record was sent, which no other process can have read
    earlier.
    """
    grant = state.find_grant(candidacy.scope)
    if grant.token == 0 or grant.holder != candidacy.holder:
        return -float('inf')
    sent_at = candidacy.sent.get(grant.after, -float('inf'))
    return sent_at + grant.lease_s * (1 - timing.clock_rate)


def find_token(
    state: AuthorityState,
    candidacy: Candidacy,
    timing: LeaseTiming,
    now: float,
) -> int | None:
    """Return the fencing token while the lease is held, else None."""
    if now >= find_deadline(state, candidacy, timing):
        return None
    return state.find_grant(candidacy.scope).token


def choose_step(
    state: AuthorityState,
    candidacy: Candidacy,
    timing: LeaseTiming,
    now: float,
) -> Step:
    """Decide the next append of this process, or how long to wait."""
    grant = state.find_grant(candidacy.scope)
    _forget_settled(candidacy, grant)
    retry_at = candidacy.tried_at + timing.lease_s * _RETRY_AT_SHARE
    if now < retry_at:
        return Idle(retry_at)
    if grant.token and grant.holder == candidacy.holder:
        return _choose_renewal(candidacy, grant, now)
    due = find_claim_time(state, candidacy, timing)
    return Claim(grant.last) if now >= due else Idle(due)


def _choose_renewal(candidacy: Candidacy, grant: Grant, now: float) -> Step:
    sent_at = candidacy.sent.get(grant.after, -float('inf'))
    due = sent_at + grant.lease_s * _RENEW_AT_SHARE
    return Renew(grant.last) if now >= due else Idle(due)


def find_claim_time(
    state: AuthorityState,
    candidacy: Candidacy,
    timing: LeaseTiming,
) -> float:
    """Return when this process may claim a scope that another one holds.

    The holder's lease began before its record was sent, so before this
    process read it: a full lease from the reading, longer by the clocks'
    difference and the margin, is surely over for the holder.
    """
    grant = state.find_grant(candidacy.scope)
    heard = state.heard.get(candidacy.scope, -float('inf'))
    delay = candidacy.delay_share * timing.lease_s * _RETRY_AT_SHARE
    if grant.token == 0:
        return heard + delay
    wait = grant.lease_s * (1 + timing.clock_rate) + timing.margin_s
    return heard + wait + delay


def _forget_settled(candidacy: Candidacy, grant: Grant) -> None:
    for after in tuple(candidacy.sent):
        if after < grant.after:
            candidacy.sent.pop(after)
