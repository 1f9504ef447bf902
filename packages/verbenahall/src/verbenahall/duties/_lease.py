"""The lease on a duty, stored as one key of a topic in the store.

The store never deletes the newest record of a key, so a successor always finds
it. Every append is conditional on the offset at which the topic ended when the
record was read, so the store accepts only one of two concurrent claims. The
position of the claim plus one is the fencing token, which no other holder can
have. All duties share the topic, so tokens of different duties differ, too.

If the store returns from an older copy, the record of a lease may be lost while
its holder still uses it. A holder writes its lease again under its token; any
other instance claims one only after a lease that may have been lost has ended,
and always under a new token, which is above all those of earlier eras.
"""

import dataclasses
import uuid
from typing import Final, final

from returns.result import Success

from verbenahall import journal, metrics, wire
from verbenahall.authority import (
    AuthorityState,
    LeaseCandidate,
    Claim,
    Grant,
    LeaseTiming,
    Release,
    Renew,
    choose_step,
    find_claim_time,
    find_token,
    record_sent,
)
from verbenahall.clock import Clock
from verbenahall.platform import (
    LEASES_TOPIC,
    Appended,
    KeyedRecord,
    NewestRecords,
    StoreClient,
    encode_keyed,
    get_era,
)

#: Length of the random part that distinguishes holders' names of an instance.
_SUFFIX_DIGITS: Final = 8
#: Least time between two attempts to write a lease again, in seconds.
_RESTORE_INTERVAL_S: Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """The newest record of a lease.

    In a claim ``token`` is 0, since the token follows from the position of the
    record.
    """

    holder: str
    token: int
    lease_s: float


@final
class DutyLease:
    """The lease on a duty, claimed on demand and not renewed while idle.

    ``now`` must be a clock that advances while the machine is suspended.
    Otherwise a holder that resumes would use a lease that a successor has
    already taken over.
    """

    __slots__ = (
        'duty',
        '_store',
        '_instance',
        '_state',
        '_candidate',
        '_timing',
        '_now',
        '_end',
        '_checked_era',
        '_restored_in',
        '_restore_at',
    )

    def __init__(
        self,
        store: StoreClient,
        duty: str,
        instance: str,
        timing: LeaseTiming,
        delay_share: float,
        now: Clock,
    ) -> None:
        """Create a candidate for the lease on a duty."""
        self.duty = duty
        self._store = store
        self._instance = instance
        self._state = AuthorityState()
        self._candidate = LeaseCandidate(
            duty, _make_holder(instance), delay_share
        )
        self._timing = timing
        self._now = now
        self._end = 0
        #: The last era that a peer stated and the store did not.
        self._checked_era = 0
        #: The last era in which a held lease was written again.
        self._restored_in = 0
        self._restore_at = -float('inf')

    @property
    def holder(self) -> str:
        """This candidate's name, which no other candidate ever has."""
        return self._candidate.holder

    def token(self) -> int | None:
        """Return the fencing token while the lease is held."""
        return find_token(
            self._state,
            self._candidate,
            self._timing,
            self._now(),
        )

    @property
    def grant(self) -> Grant:
        """The holder and token of the duty when the store was last read."""
        return self._state.find_grant(self.duty)

    def find_wait_s(self) -> float:
        """Return the time until the lease may be claimed, in seconds."""
        due = find_claim_time(self._state, self._candidate, self._timing)
        return max(0, due - self._now(), self._find_lost_lease_s())

    def discard_token(self) -> None:
        """Discard a token that was refused, so that it isn't used again.

        The candidate gets a new name. Its old record then counts as that of
        another holder, whose lease has to expire first. With the old name, the
        next read of the store would restore the token.
        """
        self._candidate = LeaseCandidate(
            self.duty,
            _make_holder(self._instance),
            self._candidate.delay_share,
        )

    async def read(self) -> Grant:
        """Read the current grant; a successor's wait starts at this read."""
        await self._refresh()
        return self.grant

    @property
    def holding_instance(self) -> str:
        """The instance that holds the duty, empty if none was read."""
        return self.grant.holder.rpartition('-')[0]

    async def is_superseded(self, token: int) -> bool | None:
        """Whether another holder or a higher token has replaced ``token``.

        None if the store does not answer.
        """
        if not await self._refresh():
            return None
        grant = self.grant
        return grant.holder != self.holder or grant.token != token

    async def acquire(self) -> int | None:
        """Claim or renew the lease if possible; return its token or None."""
        if self.token() is not None:
            return self.token()
        if self._find_lost_lease_s():
            return None
        await self._refresh()
        # This read may be the first that shows the store's return.
        if self._find_lost_lease_s():
            return None
        step = choose_step(
            self._state,
            self._candidate,
            self._timing,
            self._now(),
        )
        match step:
            case Claim():
                await self._append(step, token=0)
            case Renew():
                grant = self._state.find_grant(self.duty)
                await self._append(step, token=grant.token)
            case _:
                pass
        return self.token()

    async def restore(self) -> None:
        """Write the lease again if it is held and the store has returned.

        While this instance holds the lease, no other one can have claimed it,
        so whatever record the store has returned with is overridden.
        """
        now = self._now()
        if not self._may_be_lost() or now < self._restore_at:
            return
        if self.token() is None:
            return
        self._restore_at = now + _RESTORE_INTERVAL_S
        reported = self._store.era.latest
        match await self._store.read_newest(LEASES_TOPIC):
            case Success(newest) if get_era(newest.end) > get_era(
                self.grant.last
            ):
                await self._append_again(newest)
            case Success(_):
                self._checked_era = reported
            case _:
                pass

    async def release(self) -> None:
        """Release the lease, so that a successor can claim it at once.

        Call it only when the last order is so old that it can't be carried out
        after the first order of a successor.
        """
        if self.token() is not None:
            await self._append(Release(self._end), token=0, holder='')

    def _may_be_lost(self) -> bool:
        """Whether the store may have returned since the last record."""
        era = self._store.era
        known = get_era(self.grant.last)
        is_reported = known < era.latest and era.latest != self._checked_era
        return known < era.current or is_reported

    def _find_lost_lease_s(self) -> float:
        """Return how long a lease that was lost may still last, in seconds.

        The store may have returned without the record of a lease. Its holder
        counts it from before the return, and this instance has seen the return
        later.
        """
        era = self._store.era
        if not era.has_risen or self._restored_in == era.current:
            return 0
        timing = self._timing
        wait_s = timing.lease_s * (1 + timing.clock_rate) + timing.margin_s
        return max(0, era.seen_at + wait_s - self._now())

    async def _append_again(self, newest: NewestRecords) -> None:
        token = self.token()
        if token is None:
            return
        self._end = newest.end
        lost = newest.items.get(self.duty, b'')
        await self._append(Renew(newest.end), token)
        era = get_era(newest.end)
        if get_era(self.grant.last) == era:
            self._restored_in = era
            metrics.RESTORED_RECORDS.add(LEASES_TOPIC)
            journal.write_decision(
                'lease_restored',
                duty=self.duty,
                token=token,
                era=era,
                found=lost.decode(errors='replace'),
            )

    async def _refresh(self) -> bool:
        """Read the newest record; return whether the store answered."""
        match await self._store.read_newest(LEASES_TOPIC):
            case Success(newest):
                self._discard_unheld_token(newest)
                self._end = newest.end
                content = newest.items.get(self.duty)
                if content is not None:
                    self._apply_record(content, newest.positions[self.duty])
                return True
            case _:
                return False

    def _discard_unheld_token(self, newest: NewestRecords) -> None:
        """Discard the last token after a return, unless it is still held.

        Another instance may have held the lease since, under a higher token
        whose record is lost, so this token must not be renewed.
        """
        has_returned = 0 < get_era(self._end) < get_era(newest.end)
        if has_returned and self.token() is None:
            self.discard_token()

    def _apply_record(self, content: bytes, position: int) -> None:
        record = _decode(content)
        if record is None:
            journal.write_decision(
                'lease_unreadable',
                duty=self.duty,
                offset=position,
            )
            return
        last = position + 1
        current = self._state.find_grant(self.duty)
        if current.last == last:
            return
        self._record_grant(record, last)

    def _record_grant(self, record: _Record, last: int) -> None:
        # A released lease has no token, so the next claim need not wait.
        token = (record.token or last) if record.holder else 0
        self._state.grants[self.duty] = Grant(
            holder=record.holder,
            token=token,
            last=last,
            after=last,
            lease_s=record.lease_s,
            clean=not record.holder,
        )
        self._state.read_at[self.duty] = self._now()
        journal.write_decision(
            'lease',
            duty=self.duty,
            holder=record.holder,
            token=token,
        )

    async def _append(
        self,
        step: Claim | Renew | Release,
        token: int,
        holder: str | None = None,
    ) -> None:
        sent_at = self._now()
        name = self.holder if holder is None else holder
        record = _Record(name, token, self._timing.lease_s)
        body = encode_keyed(
            KeyedRecord(self.duty, wire.encode(dataclasses.asdict(record))),
        )
        outcome = await self._store.append(LEASES_TOPIC, [body], self._end)
        # If the store accepted the record but its response was lost, the next
        # read finds the record. Its lease is counted from ``sent_at``, which
        # is before the store accepted it.
        record_sent(self._candidate, self._end + 1, sent_at)
        match outcome:
            case Appended(position):
                self._end = position + 1
                self._record_grant(record, position + 1)
            case _:
                journal.write_decision(
                    'lease_not_taken',
                    duty=self.duty,
                    outcome=repr(outcome),
                    step=type(step).__name__,
                )


def _make_holder(instance: str) -> str:
    """Return a new unique name of a holder."""
    suffix = uuid.uuid4().hex[:_SUFFIX_DIGITS]
    return f'{instance}-{suffix}'


def _decode(content: bytes) -> _Record | None:
    match wire.decode_table(content):
        case Success(
            {'holder': str(holder), 'token': int(token), 'lease_s': lease_s},
        ) if isinstance(lease_s, int | float):
            return _Record(holder, token, lease_s)
        case _:
            return None
