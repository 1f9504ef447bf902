"""When the way to a service is checked, and what the checks mean."""

import random

import pytest

from verbenahall.reach import (
    CheckResult,
    ReachTable,
    ServiceReach,
    apply_check,
    choose_sample,
    is_check_due,
    record_ended,
    record_response,
    record_sent,
    record_trouble,
)
from verbenahall.roster import Entry


def make_entries(local, remote):
    """Return endpoints of the local and another data centre."""
    return [
        Entry(
            f'page-{number}',
            'pages',
            f'10.0.0.{number}:80',
            'lampeter' if number < local else 'cardigan',
            leaving=False,
        )
        for number in range(local + remote)
    ]


def make_lost(now=0):
    """Return a service that was found unreachable at a time."""
    reach = ServiceReach()
    assert apply_check(reach, now, reached=False) is CheckResult.LOST
    return reach


def test_nothing_is_checked_without_a_sign_of_trouble():
    reach = ServiceReach()
    assert not is_check_due(reach, 100)
    record_sent(reach, 100)
    assert not is_check_due(reach, 100.4)
    record_ended(reach)
    assert not is_check_due(reach, 200)


def test_trouble_is_checked_at_once_and_then_at_an_interval():
    reach = ServiceReach()
    record_trouble(reach)
    assert is_check_due(reach, 0)
    assert apply_check(reach, 0, reached=True) is CheckResult.UNCHANGED
    assert not is_check_due(reach, 10)
    record_trouble(reach)
    assert not is_check_due(reach, 0.4)
    assert is_check_due(reach, 0.5)


def test_sends_without_any_response_are_a_sign_of_trouble():
    reach = ServiceReach()
    record_sent(reach, 10)
    record_sent(reach, 10.3)
    assert is_check_due(reach, 10.5)
    record_response(reach, 10.5)
    assert not is_check_due(reach, 10.9)
    assert is_check_due(reach, 11)


def test_service_is_reached_again_after_two_checks_in_a_row():
    reach = make_lost()
    assert not is_check_due(reach, 0.3)
    assert is_check_due(reach, 0.4)
    assert apply_check(reach, 0.4, reached=True) is CheckResult.UNCHANGED
    assert is_check_due(reach, 0.51)
    assert apply_check(reach, 0.51, reached=True) is CheckResult.REGAINED
    assert reach.lost_at is None


def test_link_that_comes_and_goes_stays_lost():
    reach = make_lost()
    for number in range(1, 20):
        now = number / 2
        change = apply_check(reach, now, reached=number % 2 == 0)
        assert change is CheckResult.UNCHANGED
    assert reach.lost_at == 0


def test_lost_services_are_listed():
    table = ReachTable()
    assert not table.is_lost('pages')
    apply_check(table.get('pages'), 1, reached=False)
    apply_check(table.get('drafter'), 1, reached=True)
    assert table.list_lost() == ('pages',)
    assert table.is_lost('pages')
    assert table.is_doubtful('pages')
    assert not table.is_doubtful('drafter')
    record_trouble(table.get('drafter'))
    assert table.is_doubtful('drafter')


@pytest.mark.parametrize(
    ('local', 'remote', 'count', 'local_chosen'),
    [
        (10, 100, 8, 4),
        (1, 100, 8, 1),
        (100, 1, 8, 7),
        (100, 0, 8, 8),
        (0, 100, 8, 0),
        (1, 1, 8, 1),
        (10, 10, 2, 1),
    ],
)
def test_sample_holds_local_endpoints(local, remote, count, local_chosen):
    # Where data centres are partitioned from each other, only the local
    # endpoints are reached.
    entries = make_entries(local, remote)
    sample = choose_sample(entries, count, 'lampeter', random.Random(3))
    assert len(sample) == min(count, len(entries))
    assert len({one.name for one in sample}) == len(sample)
    centres = [one.data_centre for one in sample]
    assert centres.count('lampeter') == local_chosen
