"""Which requests are sent no more, by what is known of crashes."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall.quarantine import (
    Crash,
    CrashLog,
    CrashReport,
    decode,
    encode,
    find_quarantine_s,
    forget_old,
    merge,
    note_answered,
    note_crash,
    split,
)


def crash(log, fingerprint, *starts, at=10):
    """Note crashes of some starts under a request."""
    for start in starts:
        note_crash(log, start, fingerprint, at)


def test_third_crash_bars_a_request():
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2')
    assert not find_quarantine_s(log, 'f', 11)
    crash(log, 'f', 'e3')
    assert find_quarantine_s(log, 'f', 11) > 0


def test_crash_that_is_heard_twice_counts_once():
    """Datagrams come several times, and several instances see one crash."""
    log = CrashLog()
    report = CrashReport((Crash('e1', 0.5, ('f',)),))
    assert merge(log, report, 10) == {'f'}
    for now in range(11, 20):
        assert not merge(log, report, now)
    assert not find_quarantine_s(log, 'f', 20)


def test_request_that_is_answered_whole_is_no_cause():
    """A caller that asks all the time is there whenever an endpoint ends."""
    log = CrashLog()
    for number in range(20):
        crash(log, 'f', f'e{number}', at=number)
        assert note_answered(log, 'f', number + 0.5)
        assert not find_quarantine_s(log, 'f', number + 1)


def test_one_more_crash_after_the_time_bars_again():
    """After its time a request may be tried with one send, not with three."""
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    assert not find_quarantine_s(log, 'f', 700)
    crash(log, 'f', 'e4', at=701)
    assert find_quarantine_s(log, 'f', 702) > 500


def test_flood_of_requests_does_not_forget_the_one_that_crashes():
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    for number in range(20_000):
        crash(log, f'other-{number}', f'e{number}')
    assert find_quarantine_s(log, 'f', 11) > 0
    assert len(log.suspects) <= 4096


def test_starts_that_a_suspect_keeps_are_bounded():
    log = CrashLog()
    for number in range(1000):
        crash(log, 'f', f'e{number}', at=number)
    assert len(log.suspects['f'].crashes) <= 8


def test_what_is_long_ago_is_forgotten():
    log = CrashLog()
    crash(log, 'f', 'e1', 'e2', 'e3')
    forget_old(log, 4000)
    assert not log.suspects


def test_report_of_any_size_is_split_into_datagrams():
    names = tuple(format(number, '016x') for number in range(400))
    crashes = tuple(
        Crash(name, 1, names[:number]) for number, name in enumerate(names[:60])
    )
    report = CrashReport((*crashes, Crash('e', 1, names)), {names[0]: 2})
    log, told = CrashLog(), CrashLog()
    merge(log, report, 10)
    for part in split(report):
        datagram = encode(part)
        assert len(datagram) < 1400
        merge(told, decode(datagram).unwrap(), 10)
    assert told.suspects.keys() == log.suspects.keys()


def test_report_survives_its_encoding():
    report = CrashReport((Crash('e', 1.5, ('f', 'g')),), {'h': 0.25})
    assert decode(encode(report)) == Some(report)


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
    ],
)
def test_unreadable_report_is_not_believed(datagram):
    assert decode(datagram) is Nothing
