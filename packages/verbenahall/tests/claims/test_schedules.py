"""Claims under random schedules, compared with a naive fold."""

import collections

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from verbenahall.claims import _decisions as decisions
from verbenahall.claims._messages import Won
from verbenahall.claims._state import ClaimsState
from verbenahall.records import CLAIMS_STREAM, Record

key = st.sampled_from(('k', 'k', 'k', 'q'))
number = st.sampled_from((0, 0, 1, 1, 2, 3))


def fold_naively(records):
    """Return the owner of each key: all records, no generations."""
    owners = {}
    for record in records:
        for freed in record.body.get('freed', ()):
            if owners.get(freed[0]) == freed[1]:
                owners.pop(freed[0])
        for claimed in record.body['keys']:
            owners.setdefault(claimed, record.offset)
    return owners


class Schedules(RuleBasedStateMachine):
    """Instances that claim, lose responses, pause, time out and restart.

    ``wins`` holds claims that were won and neither used nor released, as an
    instance may be paused at that point for any time, also while others start
    from a snapshot.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.flying = []
        self.wins = {}
        self.runs = collections.Counter()
        self.states = [ClaimsState('0'), ClaimsState('1')]

    def pick(self, index):
        return self.states[index % len(self.states)]

    def take(self, state, verdict):
        if isinstance(verdict, Won):
            assert (state.holder, verdict.key) not in self.wins
            assert verdict.key not in state.waiting
            self.wins[state.holder, verdict.key] = verdict.offset

    @rule(index=number, wanted=key)
    def ask(self, index, wanted):
        state = self.pick(index)
        if wanted not in state.waiting:
            self.take(state, decisions.try_claim(state, wanted))

    @rule(index=number)
    def send(self, index):
        state = self.pick(index)
        batch = decisions.pop_batch(state, 2)
        if batch is not None:
            self.flying.append(decisions.encode_batch(state, batch))

    @rule(index=number)
    def land(self, index):
        if self.flying:
            self.keep(self.flying.pop(index % len(self.flying)))

    @rule(index=st.integers(0, 9))
    def land_again(self, index):
        if self.log:
            self.keep(self.log[index % len(self.log)].body)

    def keep(self, body):
        self.log.append(Record(len(self.log) + 1, CLAIMS_STREAM, 'x', body))

    @rule(index=number)
    def lose(self, index):
        if self.flying:
            self.flying.pop(index % len(self.flying))

    @rule(index=number, wanted=key)
    def time_out(self, index, wanted):
        decisions.stop_waiting(self.pick(index), wanted)

    @rule(index=number, count=st.integers(1, 5))
    def read(self, index, count):
        state = self.pick(index)
        for record in self.log[state.position : state.position + count]:
            for verdict in decisions.apply_record(state, record):
                self.take(state, verdict)

    @rule()
    def pass_time(self):
        """Send and append all batches; all instances read to the end."""
        for sender, _ in enumerate(self.states):
            self.send(sender)
        while self.flying:
            self.land(0)
        for reader, _ in enumerate(self.states):
            self.read(reader, len(self.log))

    @rule(index=number, ran=st.booleans())
    def use_win(self, index, ran):
        if not self.wins:
            return
        holder, name = sorted(self.wins)[index % len(self.wins)]
        offset = self.wins.pop((holder, name))
        if ran:
            self.runs[name] += 1
        else:
            decisions.release(self.states[int(holder)], name, offset)

    @rule(index=number, snapshot=st.booleans())
    def start_another(self, index, snapshot):
        if len(self.states) < 4:
            fresh = ClaimsState(str(len(self.states)))
            if snapshot:
                decisions.load(fresh, decisions.dump(self.pick(index)))
            self.states.append(fresh)

    @rule(index=number, other=number)
    def try_again(self, index, other):
        """A caller whose request did not run retries its key at once."""
        self.use_win(index, ran=False)
        self.send(index)
        self.ask(other, 'k')

    @invariant()
    def nothing_runs_twice(self):
        assert max(self.runs.values(), default=0) <= 1

    @invariant()
    def all_agree_with_the_naive_fold(self):
        for state in self.states:
            expected = fold_naively(self.log[: state.position])
            assert state.young == expected

    def teardown(self):
        """Deliver everything; a key that has not run can then still run."""
        for _ in range(12):
            self.pass_time()
        held = {name for _, name in self.wins} | set(self.runs)
        for wanted, owner in fold_naively(self.log).items():
            assert wanted in held or self.is_unused(wanted, owner)

    def is_unused(self, wanted, owner):
        return any(
            owner in {state.unused.get(wanted), state.freeing.get(wanted)}
            for state in self.states
        )


Schedules.TestCase.settings = settings(
    max_examples=max(300, settings.default.max_examples),
    stateful_step_count=40,
    deadline=None,
)
TestSchedules = Schedules.TestCase


@pytest.mark.parametrize('count', [5, 25])
def test_memory_is_bounded(count):
    """A deployment claims keys for months.

    Each instance must drop old keys at the same offset of the log, so that
    all reach the same verdict.
    """
    states = [ClaimsState(holder, generation_size=10) for holder in 'ab']
    for offset in range(1, count + 1):
        body = {'holder': 'z', 'keys': [f'k{offset}']}
        record = Record(offset, CLAIMS_STREAM, 'x', body)
        for state in states:
            decisions.apply_record(state, record)

    assert decisions.dump(states[0]) == decisions.dump(states[1])
    assert len(states[0].young) + len(states[0].old) == min(count, 15)
    known = range(max(1, count - 14), count + 1)
    owners = [decisions.find_owner(states[0], f'k{one}') for one in known]
    assert owners == list(known)
    forgotten = count - 15
    assert decisions.find_owner(states[0], f'k{forgotten}') is None


@pytest.mark.parametrize(
    'body',
    [
        {},
        {'holder': 1, 'keys': 'k', 'freed': 'k'},
        {'keys': [1, None], 'freed': [['k'], ['k', 'x'], 7]},
    ],
)
def test_records_that_do_not_decode(body):
    """Another program writes to the stream; the fold must go on."""
    state = ClaimsState('a')
    record = Record(1, CLAIMS_STREAM, 'x', body)

    assert not decisions.apply_record(state, record)
    assert state.position == 1
