"""What follows a failed attempt, and the check of a stream."""

import itertools
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.errors import ErrorKind, Ran
from verbenahall.requests import (
    AttemptNames,
    Broken,
    Facts,
    GiveUp,
    NeverWritten,
    Refused,
    Retry,
    RetryBudget,
    StreamState,
    TimedOut,
    decide_next,
    feed,
)

OUTCOMES = (NeverWritten('x'), Refused(503), Broken('x'), TimedOut())
FLAGS = st.booleans()


def decide(outcome, budget=None, now=0, **facts):
    facts = {'deadline': 100, 'attempts': 1, 'repeatable': False} | facts
    return decide_next(
        outcome,
        Facts(**facts),
        budget or RetryBudget(),
        random.Random(1),
        now,
    )


def may_repeat_naively(outcome, facts):
    """List the whole table, row by row, instead of deciding."""
    sure = isinstance(outcome, NeverWritten | Refused)
    goes_on = not facts['delivered'] or facts['resumable']
    return {
        (True, True): True,
        (True, False): True,
        (False, True): isinstance(outcome, Broken),
        (False, False): False,
    }[sure, facts['repeatable']] and goes_on


@given(
    st.sampled_from(OUTCOMES),
    st.fixed_dictionaries(
        {
            'repeatable': FLAGS,
            'delivered': FLAGS,
            'resumable': FLAGS,
            'unknown': FLAGS,
        },
    ),
)
def test_retry_only_where_the_naive_table_allows(outcome, facts):
    """An attempt ends in any way at any point. It may be sent again only if
    it surely did not run or may run twice, and only if what has reached the
    caller can be gone on with; else the caller hears what is known.
    """
    step = decide(outcome, **facts)
    assert isinstance(step, Retry) == may_repeat_naively(outcome, facts)
    if isinstance(step, GiveUp) and step.problem.answer.ran is Ran.NO:
        assert isinstance(outcome, NeverWritten | Refused)
        assert not facts['unknown']


@pytest.mark.parametrize(
    ('outcome', 'facts', 'kind', 'ran'),
    (
        (NeverWritten('x'), {}, ErrorKind.ENDPOINT_FAILED, Ran.NO),
        (Refused(503), {}, ErrorKind.OVERLOADED, Ran.NO),
        (Refused(503), {'unknown': True}, ErrorKind.OVERLOADED, Ran.UNKNOWN),
        (Broken('x'), {}, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
        (TimedOut(), {}, ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN),
        (
            Broken('x'),
            {'delivered': True, 'repeatable': True},
            ErrorKind.ANSWER_TRUNCATED,
            Ran.YES,
        ),
    ),
)
def test_final_answer_says_what_is_known(outcome, facts, kind, ran):
    """The last attempt has failed. The caller must read "no" only where an
    endpoint surely never began, or it would order the same thing twice.
    """
    step = decide(outcome, attempts=9, **facts)
    assert step.problem.kind is kind
    assert step.problem.answer.ran is ran


def test_backoff_grows_and_stops_before_the_deadline():
    """A fleet is slow for all callers at once. Their retries must spread
    and not come back together, and none may begin after its deadline.
    """
    delays = [decide(Refused(503), attempts=row).delay_s for row in (1, 2, 3)]
    assert all(delay * 100 <= 8 for delay in delays)
    assert delays[0] < delays[1] < delays[2]
    assert isinstance(decide(Refused(503), now=100), GiveUp)


def test_refused_flag_is_tried_on():
    """Engines refuse while they are full, and the budget is used up. A flag
    is tried on, for it costs the fleet nothing; other requests are not.
    """
    empty = RetryBudget(most=0)
    assert isinstance(decide(Refused(503), empty, attempts=9), GiveUp)
    flag = {'attempts': 9, 'urgent': True}
    assert isinstance(decide(Refused(503), empty, **flag), Retry)
    assert isinstance(decide(Broken('x'), empty, **flag), GiveUp)


def test_budget_bounds_retries_to_a_share_of_traffic():
    """Every attempt fails. Beyond the saved ones, retries are a fifth of the
    requests, however many each of them would like.
    """
    budget = RetryBudget(share=0.2, most=10)
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += isinstance(decide(Refused(503), budget), Retry)
    assert 200 <= retries <= 211


def test_names_never_come_twice():
    """An instance restarts and counts from one again. An answer to the old
    process's first attempt must not pass for the new one's.
    """
    old, new = AttemptNames('i1.aa'), AttemptNames('i1.bb')
    names = [names.next_name() for names in (old, new) for _ in range(99)]
    assert len(set(names)) == len(names)


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just('mine'), st.integers(0, 6)),
        st.tuples(st.just('other'), st.integers(0, 6)),
        st.tuples(st.sampled_from(('done', 'noise')), st.just(0)),
    ),
    max_size=12,
)


def write_event(kind, index, spaced):
    separators = (', ', ': ') if spaced else (',', ':')
    table = {'attempt': kind, 'index': index, 'choices': []}
    texts = {'done': '[DONE]', 'noise': '{"a": '}
    text = texts.get(kind) or json.dumps(table, separators=separators)
    return f'data: {text}\n\n'.encode()


def read_naively(events):
    """Decode every event and keep the tokens that come in order."""
    expected, passed = 0, []
    for kind, index in events:
        if kind == 'done':
            return passed, True, False
        if kind == 'mine' and index > expected:
            return passed, False, True
        if kind == 'mine' and index == expected:
            passed.append(index)
            expected += 1
    return passed, False, False


@given(EVENTS, st.booleans(), st.lists(st.integers(1, 40), max_size=30))
def test_stream_check_equals_the_naive_reading(events, spaced, cuts):
    """Tokens come twice, out of order, with gaps, for another attempt, and
    cut anywhere by the network. What reaches the caller must be what a
    reader that decodes each event would pass on, in whole events.
    """
    sent = b''.join(write_event(*event, spaced) for event in events)
    state = StreamState('mine')
    passed, start = b'', 0
    for end in itertools.accumulate([*cuts, len(sent)]):
        passed += feed(state, sent[start:end]).passed
        start = end
    tokens, done, gap = read_naively(events)
    assert passed == b''.join(
        write_event('mine', token, spaced) for token in tokens
    )
    assert (state.index, state.done, state.gap) == (len(tokens), done, gap)
