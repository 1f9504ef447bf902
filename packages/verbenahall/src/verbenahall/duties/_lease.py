"""The lease on one duty, kept as one key in the store.

The lease's newest record is kept for ever, so a successor always finds it.
Every append is conditional on the offset at which the topic ended when the
record was read: of two claims the store lets in only one, and the offset of
the claim is the fencing token, which no other holder can ever have. All
duties share the topic, so no two of them ever have the same token either.
"""

import dataclasses
import uuid
from typing import Final, final

from returns.result import Failure, Success

from verbenahall import journal, wire
from verbenahall.authority import (
    AuthorityState,
    Candidacy,
    Claim,
    Grant,
    LeaseTiming,
    Release,
    Renew,
    choose_step,
    find_claim_time,
    find_token,
    note_sent,
)
from verbenahall.clock import Clock
from verbenahall.platform import (
    LEASES_TOPIC,
    Appended,
    KeyedRecord,
    StoreClient,
    encode_keyed,
)

#: Digits that tell this run of the process from the ones before.
_RUN_DIGITS: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """What the lease's newest record says; ``token`` 0 is its own offset."""

    holder: str
    token: int
    lease_s: float


@final
class DutyLease:
    """Claims the lease when it is needed; nobody renews it in idle times.

    ``now`` must be a clock that counts while the machine is suspended: a
    holder that wakes would otherwise believe in a lease that a successor
    has long taken over.
    """

    __slots__ = (
        'duty',
        '_store',
        '_instance',
        '_state',
        '_candidacy',
        '_timing',
        '_now',
        '_end',
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
        """Stand for the lease on a duty in the name of an instance."""
        self.duty = duty
        self._store = store
        self._instance = instance
        self._state = AuthorityState()
        self._candidacy = Candidacy(duty, _make_name(instance), delay_share)
        self._timing = timing
        self._now = now
        self._end = 0

    @property
    def holder(self) -> str:
        """The name as a holder, used by no other run and no other stand."""
        return self._candidacy.holder

    def token(self) -> int | None:
        """Return the fencing token while the lease is held."""
        return find_token(
            self._state,
            self._candidacy,
            self._timing,
            self._now(),
        )

    @property
    def grant(self) -> Grant:
        """Who held the duty when the store was last read."""
        return self._state.find_grant(self.duty)

    def find_wait(self) -> float:
        """Return for how long another holder is waited out, in seconds."""
        due = find_claim_time(self._state, self._candidacy, self._timing)
        return max(0, due - self._now())

    def forget(self) -> None:
        """Give up a token that was refused; it is not used again.

        Under a new name the own record is another's, whose lease is waited
        out; under the old one the next read would hand the token back.
        """
        self._candidacy = Candidacy(
            self.duty,
            _make_name(self._instance),
            self._candidacy.delay_share,
        )

    async def look(self) -> Grant:
        """Read who holds the duty; a successor waits from this on."""
        await self._refresh()
        return self.grant

    async def acquire(self) -> int | None:
        """Take one step towards the lease; return the token once held."""
        if self.token() is not None:
            return self.token()
        await self._refresh()
        step = choose_step(
            self._state,
            self._candidacy,
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

    async def release(self) -> None:
        """Give the lease back, so that a successor need not wait it out.

        Call it only when the last order is so old that a successor's first
        one cannot seem to take turns with it.
        """
        if self.token() is not None:
            await self._append(Release(self._end), token=0, holder='')

    async def _refresh(self) -> None:
        match await self._store.read_newest(LEASES_TOPIC):
            case Success(newest):
                self._end = newest.end
                content = newest.items.get(self.duty)
                if content is not None:
                    self._hear(content, newest.offsets[self.duty])
            case Failure():
                return

    def _hear(self, content: bytes, offset: int) -> None:
        record = _decode(content)
        if record is None:
            journal.write_decision(
                'lease_unreadable',
                duty=self.duty,
                offset=offset,
            )
            return
        last = offset + 1
        known = self._state.find_grant(self.duty)
        if known.last == last:
            return
        self._grant(record, last)

    def _grant(self, record: _Record, last: int) -> None:
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
        self._state.heard[self.duty] = self._now()
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
        # A record that got in without our hearing of it is found by the next
        # read; its lease is counted from now, which is before it was taken.
        note_sent(self._candidacy, self._end + 1, sent_at)
        match outcome:
            case Appended(offset):
                self._end = offset + 1
                self._grant(record, offset + 1)
            case _:
                journal.write_decision(
                    'lease_not_taken',
                    duty=self.duty,
                    outcome=repr(outcome),
                    step=type(step).__name__,
                )


def _make_name(instance: str) -> str:
    """Return a holder's name that was never used before."""
    run = uuid.uuid4().hex[:_RUN_DIGITS]
    return f'{instance}-{run}'


def _decode(content: bytes) -> _Record | None:
    match wire.decode_table(content):
        case Success(
            {'holder': str(holder), 'token': int(token), 'lease_s': lease_s},
        ) if isinstance(lease_s, int | float):
            return _Record(holder, token, lease_s)
        case _:
            return None
