"""Counts that arrive repeatedly, late, in parts, or malformed."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall import wire
from verbenahall.usage._decisions import (
    Windows,
    find_unpolled,
    list_undecided,
    may_decide,
)
from verbenahall.usage._gathering import GatheredCounts
from verbenahall.usage._ledger import (
    ReportLedger,
    decide,
    decode_ledger,
    encode_ledger,
)
from verbenahall.usage._messages import (
    UsageAnswer,
    UsagePoll,
    decode,
    encode_answer,
    encode_poll,
    split_counts,
)

WINDOWS = Windows(5, 10)
ANSWER = UsageAnswer('front-1', 'ab12', 3, 0, 1, 100.5, {7: {'club': 2}})


def make_answer(number, counts, run='ab12', part=0, parts=1):
    return UsageAnswer('front-1', run, number, part, parts, 0, counts)


def test_decoding_restores_an_encoded_message():
    assert decode(encode_answer(ANSWER)) == Some(ANSWER)
    assert decode(encode_poll(UsagePoll(4, 1.5))) == Some(UsagePoll(4, 1.5))


@pytest.mark.parametrize(
    'changes',
    [
        {'counts': [[7, {'club': -1}]]},
        {'counts': [[7, {'club': True}]]},
        {'counts': [['7', {'club': 1}]]},
        {'counts': {'club': 1}},
        {'at': None},
        {'part': 'one'},
        {'more': 1},
    ],
)
def test_malformed_answer_is_none(changes):
    """If its valid part were used, a workspace would be billed wrongly."""
    table = wire.decode_table(encode_answer(ANSWER)).unwrap()['usage_told']
    malformed = wire.encode({'usage_told': {**table, **changes}})
    assert decode(malformed) == Nothing


def test_long_answer_is_split_into_datagrams():
    counts = {
        window: {f'workspace-{number:04}': 10**6 for number in range(90)}
        for window in (356_564_960, 356_564_961)
    }
    parts = split_counts(counts)
    joined = GatheredCounts()
    for number, part in enumerate(parts):
        answer = make_answer(1, part, part=number, parts=len(parts))
        assert len(encode_answer(answer)) < 1400
        joined.add_answer(answer, 9, 0)
    assert joined.sum_window(356_564_960) == counts[356_564_960]
    assert joined.answered_at == {'front-1': 9}


def test_lost_part_leaves_an_answer_missing():
    """Counts would be reported without the lost part."""
    gathered = GatheredCounts()
    gathered.add_answer(make_answer(1, {7: {'a': 1}}, part=0, parts=2), 5, 0)
    assert list(gathered.list_unanswered(['front-1'], 4)) == ['front-1']
    gathered.add_answer(make_answer(2, {7: {'b': 1}}, part=1, parts=2), 6, 0)
    assert list(gathered.list_unanswered(['front-1'], 4)) == ['front-1']
    gathered.add_answer(make_answer(2, {7: {'a': 1}}, part=0, parts=2), 7, 0)
    assert not list(gathered.list_unanswered(['front-1'], 4))


def test_late_and_repeated_answers_change_nothing():
    gathered = GatheredCounts()
    for counts in ({7: {'a': 5}}, {7: {'a': 3}}, {7: {'a': 5}}):
        gathered.add_answer(make_answer(1, counts), 5, 0)
    assert gathered.sum_window(7) == {'a': 5}


def test_counts_before_and_after_a_restart_are_added():
    gathered = GatheredCounts()
    gathered.add_answer(make_answer(1, {7: {'a': 5}}, run='old'), 5, 0)
    gathered.add_answer(make_answer(2, {7: {'a': 2}}, run='new'), 6, 0)
    assert gathered.sum_window(7) == {'a': 7}
    gathered.discard_before(8)
    assert not gathered.counts


def test_decoding_restores_an_encoded_ledger():
    ledger = decide(ReportLedger(6), 7, {'a': 1}, {6: {'b': 2}})
    assert decode_ledger(encode_ledger(ledger)) == Some(ledger)


def test_window_is_decided_once():
    """With a second report, a window would be billed twice."""
    with pytest.raises(ValueError, match='window 7'):
        decide(ReportLedger(7), 7, {}, {})


@pytest.mark.parametrize('content', [b'\xff', b'{}', b'{"last":1,"open":3}'])
def test_malformed_ledger_is_none(content):
    assert decode_ledger(content) == Nothing


def test_windows_wait_until_their_counts_are_settled():
    # Window 19 ends at 100; its report is due at 110.
    assert list(list_undecided(WINDOWS, 17, 101)) == [18, 19]
    assert not may_decide(WINDOWS, 19, 101.9, is_complete=True)
    assert may_decide(WINDOWS, 19, 102, is_complete=True)
    assert not may_decide(WINDOWS, 19, 103.9, is_complete=False)
    assert may_decide(WINDOWS, 19, 104, is_complete=False)


def test_overdue_window_is_not_decided():
    assert list(list_undecided(WINDOWS, 10, 110.5)) == [20, 21]


def test_counts_are_written_if_they_are_not_polled():
    """The holder is unreachable, and the store is available."""
    assert find_unpolled(WINDOWS, 99, 103.1) == 19
    assert find_unpolled(WINDOWS, 100.5, 103.1) is None
