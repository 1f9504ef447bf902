"""Retry decisions, and the check of a stream."""

import itertools
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.errors import ErrorKind, Ran
from verbenahall.requests import (
    AttemptIds,
    Broken,
    GiveUp,
    NeverWritten,
    Refused,
    Retry,
    RetryBudget,
    RetryContext,
    StreamState,
    TimedOut,
    decide_retry,
    process_chunk,
)

OUTCOMES = (NeverWritten('x'), Refused(503), Broken('x'), TimedOut())
FLAGS = st.booleans()


def decide(outcome, budget=None, now=0, **retry_context):
    retry_context = {
        'deadline': 100,
        'attempts': 1,
        'repeatable': False,
    } | retry_context
    return decide_retry(
        outcome,
        RetryContext(**retry_context),
        budget or RetryBudget(),
        random.Random(1),
        now,
    )


def look_up_retryable(outcome, retry_context):
    """Look the decision up in a table of all cases."""
    did_not_run = isinstance(outcome, NeverWritten | Refused)
    is_resumable = not retry_context['delivered'] or retry_context['resumable']
    return {
        (True, True): True,
        (True, False): True,
        (False, True): isinstance(outcome, Broken),
        (False, False): False,
    }[did_not_run, retry_context['repeatable']] and is_resumable


@given(
    st.sampled_from(OUTCOMES),
    st.fixed_dictionaries(
        {
            'repeatable': FLAGS,
            'delivered': FLAGS,
            'resumable': FLAGS,
            'may_have_run_before': FLAGS,
        },
    ),
)
def test_retry_only_where_the_naive_table_allows(outcome, retry_context):
    """A request may be retried only if the attempt certainly did not run or
    may run twice, and only if an answer that has been partly delivered can be
    resumed. Otherwise the caller gets an answer that never claims "not run"
    wrongly.
    """
    step = decide(outcome, **retry_context)
    assert isinstance(step, Retry) == look_up_retryable(outcome, retry_context)
    if isinstance(step, GiveUp) and step.problem.answer.ran is Ran.NO:
        assert isinstance(outcome, NeverWritten | Refused)
        assert not retry_context['may_have_run_before']


@pytest.mark.parametrize(
    ('outcome', 'retry_context', 'kind', 'ran'),
    (
        (NeverWritten('x'), {}, ErrorKind.ENDPOINT_FAILED, Ran.NO),
        (Refused(503), {}, ErrorKind.OVERLOADED, Ran.NO),
        (
            Refused(503),
            {'may_have_run_before': True},
            ErrorKind.OVERLOADED,
            Ran.UNKNOWN,
        ),
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
def test_final_problem_reports_whether_the_request_ran(
    outcome, retry_context, kind, ran
):
    """The final answer may say "not run" only if no endpoint started the
    request. Otherwise the caller would repeat it and it would run twice.
    """
    step = decide(outcome, attempts=9, **retry_context)
    assert step.problem.kind is kind
    assert step.problem.answer.ran is ran


def test_backoff_grows_and_stops_before_the_deadline():
    """Requests that fail at the same time must be retried at different times,
    and no retry may start after the deadline.
    """
    delays = [decide(Refused(503), attempts=row).delay_s for row in (1, 2, 3)]
    assert all(delay * 100 <= 8 for delay in delays)
    assert delays[0] < delays[1] < delays[2]
    assert isinstance(decide(Refused(503), now=100), GiveUp)


def test_refused_urgent_request_is_retried():
    """Engines are full and the retry budget is empty. Refused urgent requests
    are still retried, since that costs the fleet nothing; others are not.
    """
    empty = RetryBudget(max_tokens=0)
    assert isinstance(decide(Refused(503), empty, attempts=9), GiveUp)
    urgent = {'attempts': 9, 'urgent': True}
    assert isinstance(decide(Refused(503), empty, **urgent), Retry)
    assert isinstance(decide(Broken('x'), empty, **urgent), GiveUp)


def test_budget_bounds_retries_to_a_share_of_traffic():
    """Every attempt fails. Apart from the initial tokens, the number of
    retries must be at most a fifth of the number of requests.
    """
    budget = RetryBudget(share=0.2, max_tokens=10)
    retries = 0
    for _ in range(1000):
        budget.record_request()
        retries += isinstance(decide(Refused(503), budget), Retry)
    assert 200 <= retries <= 211


def test_attempt_ids_are_unique():
    """A restarted instance counts from one again. An answer to the first
    attempt of the old process must not match that of the new one.
    """
    first, second = AttemptIds('i1.aa'), AttemptIds('i1.bb')
    ids = [
        generator.next_id() for generator in (first, second) for _ in range(99)
    ]
    assert len(set(ids)) == len(ids)


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


def decode_stream(events):
    """Decode every event and return the tokens in order, done and gap."""
    expected, forwarded = 0, []
    for kind, index in events:
        if kind == 'done':
            return forwarded, True, False
        if kind == 'mine' and index > expected:
            return forwarded, False, True
        if kind == 'mine' and index == expected:
            forwarded.append(index)
            expected += 1
    return forwarded, False, False


@given(EVENTS, st.booleans(), st.lists(st.integers(1, 40), max_size=30))
def test_stream_check_equals_the_naive_reading(events, spaced, cuts):
    """Events are duplicated, out of order, missing, of another attempt, and
    split anywhere. The forwarded bytes must be the complete events that a
    reader which decodes every event would forward.
    """
    sent = b''.join(write_event(*event, spaced) for event in events)
    state = StreamState('mine')
    forwarded, start = b'', 0
    for end in itertools.accumulate([*cuts, len(sent)]):
        forwarded += process_chunk(state, sent[start:end]).forwarded
        start = end
    tokens, done, gap = decode_stream(events)
    assert forwarded == b''.join(
        write_event('mine', token, spaced) for token in tokens
    )
    assert (state.index, state.done, state.gap) == (len(tokens), done, gap)
