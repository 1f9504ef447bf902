"""Quarantine of requests by the crashes in the log."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall.quarantine import (
    Crash,
    CrashLog,
    CrashReport,
    decode,
    encode,
    find_quarantine_s,
    merge,
    record_alive,
    record_answered,
    record_crash,
    remove_expired,
    split,
)


def crash(log, fingerprint, *incarnations, at=10):
    """Record crashes of some incarnations with a request running."""
    for incarnation in incarnations:
        record_crash(log, incarnation, fingerprint, at)


def test_third_crash_quarantines_a_request():
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2')
    assert not find_quarantine_s(log, 'f', 11)
    crash(log, 'f', 'e3')
    assert find_quarantine_s(log, 'f', 11) > 0


def test_crash_that_is_reported_twice_counts_once():
    """Reports are repeated, and several instances report the same crash."""
    log = CrashLog()
    report = CrashReport((Crash('e1', 0.5, ('f',)),))
    assert merge(log, report, 10) == {'f'}
    for now in range(11, 20):
        assert not merge(log, report, now)
    assert not find_quarantine_s(log, 'f', 20)


def test_complete_answer_clears_earlier_crashes():
    """A request that is sent all the time runs whenever an endpoint crashes."""
    log = CrashLog()
    for number in range(20):
        crash(log, 'f', f'e{number}', at=number)
        assert record_answered(log, 'f', number + 0.5)
        assert not find_quarantine_s(log, 'f', number + 1)


def test_one_more_crash_after_the_quarantine_renews_it():
    """After the quarantine a request may cause one crash, not three."""
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    assert not find_quarantine_s(log, 'f', 700)
    crash(log, 'f', 'e4', at=701)
    assert find_quarantine_s(log, 'f', 702) > 500


def test_endpoint_that_answers_has_not_crashed():
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    assert not record_alive(log, 'e3', 9)
    assert find_quarantine_s(log, 'f', 11) > 0
    assert record_alive(log, 'e3', 10.5)
    assert not find_quarantine_s(log, 'f', 11)


def test_late_report_of_a_refuted_crash_is_ignored():
    """Reports are repeated, also by instances that missed the refutation."""
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    merge(log, CrashReport(alive={'e1': 0.5}), 12)
    crash(log, 'f', 'e1')
    crash(log, 'g', 'e1')
    assert not find_quarantine_s(log, 'f', 12)
    assert 'g' not in log.suspects
    crash(log, 'f', 'e1', at=12)
    assert find_quarantine_s(log, 'f', 12) > 0


def test_flood_of_requests_does_not_evict_the_one_that_crashes():
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    for number in range(20_000):
        crash(log, f'other-{number}', f'e{number}')
    assert find_quarantine_s(log, 'f', 11) > 0
    assert len(log.suspects) <= 4096


def test_crashes_kept_for_a_suspect_are_bounded():
    log = CrashLog()
    for number in range(1000):
        crash(log, 'f', f'e{number}', at=number)
    assert len(log.suspects['f'].crashes) <= 8


def test_suspects_without_recent_crashes_are_removed():
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    remove_expired(log, 4000)
    assert not log.suspects


def test_report_of_any_size_is_split_into_datagrams():
    names = tuple(format(number, '016x') for number in range(400))
    crashes = tuple(
        Crash(name, 1, names[:number]) for number, name in enumerate(names[:60])
    )
    report = CrashReport((*crashes, Crash('e', 1, names)), {names[0]: 2})
    log, merged = CrashLog(), CrashLog()
    merge(log, report, 10)
    for part in split(report):
        datagram = encode(part)
        assert len(datagram) < 1400
        merge(merged, decode(datagram).unwrap(), 10)
    assert merged.suspects.keys() == log.suspects.keys()


def test_decoding_restores_an_encoded_report():
    report = CrashReport((Crash('e', 1.5, ('f', 'g')),), {'h': 0.25}, {'i': 2})
    assert decode(encode(report)) == Some(report)


def test_report_of_an_earlier_version_is_decoded():
    datagram = b'{"crashes":[["e",1.5,["f"]]],"answered":{}}'
    assert decode(datagram) == Some(CrashReport((Crash('e', 1.5, ('f',)),)))


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'{"from":"front-1"}',
        b'{"crashes":',
        b'{"crashes":[]}',
        b'{"crashes":[1],"answered":{}}',
        b'{"crashes":[["e",-1,[]]],"answered":{}}',
        b'{"crashes":[["e","x",["f"]]],"answered":{}}',
        b'{"crashes":[["e",1,[5]]],"answered":{}}',
        b'{"crashes":[["e",1,"fg"],[]],"answered":{}}',
        b'{"crashes":[],"answered":{"f":null}}',
        b'{"crashes":[],"answered":{},"alive":{"e":-1}}',
        b'{"crashes":[],"answered":{},"alive":5}',
    ],
)
def test_malformed_report_is_ignored(datagram):
    assert decode(datagram) is Nothing
