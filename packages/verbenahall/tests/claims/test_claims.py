"""At most one claim on a key wins, also if the log fails."""

import asyncio
import itertools

import pytest
from returns.result import Failure, Success

from verbenahall.claims import Claims, ClaimsTiming
from verbenahall.claims import _decisions as decisions
from verbenahall.claims._messages import Won
from verbenahall.claims._state import ClaimsState
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.records import Record

UNAVAILABLE = Failure(Problem(ErrorKind.LOG_UNAVAILABLE, 'down', Ran.UNKNOWN))
TIMING = ClaimsTiming(
    appends_per_s=1000,
    append_timeout_s=5,
    verdict_timeout_s=5,
    refuse_s=0.05,
)


class FakeLog:
    """A log in memory, which every claims fold reads at once."""

    def __init__(self):
        self.records = []
        self.readers = []
        self.mode = 'up'

    async def append(self, stream, body):
        await asyncio.sleep(0.001)
        if self.mode == 'down':
            return UNAVAILABLE
        if self.mode == 'hung':
            await asyncio.sleep(60)
        held = self.mode == 'late'
        record = Record(len(self.records) + 1, stream, 'x', body)
        self.records.append(record)
        if not held:
            self.publish()
        if self.mode == 'slow to answer':
            await asyncio.sleep(60)
        return (
            UNAVAILABLE
            if self.mode in {'lost', 'late'}
            else Success(record.offset)
        )

    def publish(self):
        for record in self.records:
            for reader in self.readers:
                reader.apply_record(record)


def run_with(check, instances=2, timing=TIMING):
    async def main():
        log = FakeLog()
        log.readers = [Claims(log, 'i', timing) for _ in range(instances)]
        runs = [asyncio.create_task(one.run()) for one in log.readers]
        try:
            await check(log, *log.readers)
        finally:
            for task in runs:
                task.cancel()

    asyncio.run(main())


def kinds(verdicts):
    return sorted(
        'won' if isinstance(one, Success) else one.failure().kind.value
        for one in verdicts
    )


def test_one_winner_among_instances():
    """A caller sends its key to two instances at once, twice to each.

    With two winners the request would run, and be billed, twice.
    """

    async def check(log, first, second):
        verdicts = await asyncio.gather(
            *(one.claim('desk', 'k') for one in (first, second, first, second)),
        )
        assert kinds(verdicts) == ['duplicate', 'duplicate', 'duplicate', 'won']
        later = await second.claim('desk', 'k')
        assert later.failure().answer.ran is Ran.UNKNOWN
        assert isinstance(await first.claim('atlas', 'k'), Success)

    run_with(check)


def test_many_keys_share_appends():
    """A burst of keyed calls must not exhaust the log's rate."""

    async def check(log, first):
        verdicts = await asyncio.gather(
            *(first.claim('desk', str(number)) for number in range(300)),
        )
        assert kinds(verdicts) == list(itertools.repeat('won', 300))
        assert len(log.records) <= 3

    run_with(check, instances=1)


@pytest.mark.parametrize('mode', ['down', 'hung'])
def test_log_down_refuses(mode):
    """The log is down or hangs when a keyed call arrives.

    The call must not run, since it is unknown whether the key was claimed
    before. Later calls are rejected at once and not after the log's timeout.
    """

    async def check(log, first):
        log.mode = mode
        verdict = await first.claim('desk', 'k')
        assert verdict.failure().kind is ErrorKind.LOG_UNAVAILABLE
        assert verdict.failure().answer.ran is Ran.NO
        appends = first.batcher.appends
        await first.claim('desk', 'other')
        assert first.batcher.appends == appends

    run_with(
        check,
        instances=1,
        timing=ClaimsTiming(append_timeout_s=0.05, refuse_s=30),
    )


def test_late_answers_do_not_refuse():
    """The log appends claims at once but responds late.

    The verdicts are read from the log anyway. If further calls were rejected,
    a slow log would become an outage.
    """

    async def check(log, first):
        log.mode = 'slow to answer'
        verdicts = [await first.claim('desk', 'k')]
        await asyncio.sleep(0.2)
        verdicts.append(await first.claim('desk', 'other'))
        assert kinds(verdicts) == ['won', 'won']

    timing = ClaimsTiming(append_timeout_s=0.05, refuse_s=30)
    run_with(check, instances=1, timing=timing)


@pytest.mark.parametrize('mode', ['lost', 'late'])
def test_lost_answer_of_the_log(mode):
    """The response to an append is lost, or the record is appended later.

    The first response to the caller was "not run"; a retry at another
    instance must run, and only once.
    """

    async def check(log, first, second):
        log.mode = mode
        verdict = await first.claim('desk', 'k')
        landed = isinstance(verdict, Success)
        log.mode = 'up'
        log.publish()
        if not landed:
            assert verdict.failure().answer.ran is Ran.NO
            while not log.readers[1].state.position > 1:
                await asyncio.sleep(0.01)
        verdicts = await asyncio.gather(
            second.claim('desk', 'k'),
            first.claim('desk', 'k'),
        )
        assert kinds(verdicts).count('won') == int(not landed)

    run_with(check)


def test_released_claim_runs_elsewhere():
    """An engine rejects a claimed call before it starts.

    The response says "not run", and the caller retries at another instance.
    """

    async def check(log, first, second):
        offset = (await first.claim('desk', 'k')).unwrap()
        first.release('desk', 'k', offset)
        while len(log.records) < 2:
            await asyncio.sleep(0.01)
        log.publish()
        assert isinstance(await second.claim('desk', 'k'), Success)
        # A second copy of the release must not release the new claim.
        copy = log.records[1]
        log.records.append(Record(4, copy.stream, copy.identity, copy.body))
        log.publish()
        assert kinds([await first.claim('desk', 'k')]) == ['duplicate']

    run_with(check)


def test_caller_goes_away_as_its_claim_is_won():
    """A caller disconnects just as its claim is won.

    The call does not run, so its retry must not be rejected as a duplicate.
    """

    async def check(log, first, second):
        call = asyncio.create_task(first.claim('desk', 'k'))
        while not log.records:
            await asyncio.sleep(0)
        call.cancel()
        while len(log.records) < 2:
            await asyncio.sleep(0.01)
        assert isinstance(await second.claim('desk', 'k'), Success)

    run_with(check)


def test_names_of_keys():
    """Other pairs of workspace and key must not lead to an equal name."""
    pairs = [('a', 'bc'), ('ab', 'c'), ('a:b', 'c'), ('a', 'b:c'), ('', 'abc')]
    named = {decisions.hash_key(*pair) for pair in pairs}

    assert len(named) == len(pairs)
    assert len(decisions.hash_key('w' * 256, 'k' * 9999)) == 32


def test_snapshot_carries_claims():
    """All instances are replaced after the claim has expired from the log."""

    async def check(log, first, second):
        await first.claim('desk', 'k')
        fresh = Claims(log, 'i', TIMING)
        fresh.load(first.dump())
        verdict = await fresh.claim('desk', 'k')
        assert verdict.failure().kind is ErrorKind.DUPLICATE

    run_with(check)


def test_release_on_its_way_is_not_taken_back():
    """A release is in transit to the log, and the caller retries.

    If the retry ran under the old claim, another instance could run the key
    too, once the release has been appended.
    """
    state = ClaimsState('a')
    assert decisions.try_claim(state, 'k') is None
    claim = decisions.encode_batch(state, decisions.pop_batch(state, 9))
    won = decisions.apply_record(state, Record(1, 'claims', 'x', claim))
    assert won == (Won('k', 1),)

    decisions.release(state, 'k', 1)
    assert decisions.try_claim(state, 'k') == Won('k', 1)

    decisions.release(state, 'k', 1)
    decisions.pop_batch(state, 9)
    assert decisions.try_claim(state, 'k') is None
