"""Backoffs that endpoints request, and the slow start after them."""

import random

import pytest

from verbenahall.backoff import BackoffTable, choose_retry_after

ENGINE = ('e-1', 0)


def make_table(for_s=3.0):
    table = BackoffTable()
    table.begin_backoff(ENGINE, for_s, 0)
    return table


def accept_sends(table, count):
    """Have the endpoint accept sends, one after the other."""
    for _ in range(count):
        table.end_trial(ENGINE, table.begin_trial(ENGINE), accepted=True)


def test_no_request_is_sent_until_the_end():
    table = make_table()
    assert not table.may_send(ENGINE, 2.99)
    assert table.find_left_s(ENGINE, 1) == 2
    assert table.may_send(ENGINE, 3)


def test_longer_backoff_goes_before_a_shorter_one():
    table = make_table(3)
    table.begin_backoff(ENGINE, 0.5, 1)
    assert table.find_left_s(ENGINE, 1) == 2
    table.begin_backoff(ENGINE, 5, 1)
    assert table.find_left_s(ENGINE, 1) == 5


def test_other_incarnation_starts_afresh():
    assert make_table().may_send(('e-1', 7), 1)


def test_accepted_request_from_before_shortens_nothing():
    table = BackoffTable()
    trial = table.begin_trial(ENGINE)
    table.begin_backoff(ENGINE, 3, 0)
    table.end_trial(ENGINE, trial, accepted=True)
    assert not table.may_send(ENGINE, 1)


def test_accepted_trial_shortens_no_later_backoff():
    table = make_table()
    trials = [table.begin_trial(ENGINE) for _ in range(20)]
    table.begin_backoff(ENGINE, 3, 4)
    for trial in trials:
        table.end_trial(ENGINE, trial, accepted=True)
    assert not table.may_send(ENGINE, 6)
    table.begin_trial(ENGINE)
    assert not table.may_send(ENGINE, 8)


def test_late_trial_of_an_ended_backoff_does_not_end_the_next_one():
    """More trials than the limit needs may be accepted, the last one late."""
    table = make_table()
    trial = table.begin_trial(ENGINE)
    accept_sends(table, 8)
    table.begin_backoff(ENGINE, 3, 5)
    table.end_trial(ENGINE, trial, accepted=True)
    assert not table.may_send(ENGINE, 6)


def test_endpoint_gets_few_requests_first():
    """All requests that waited for the end would be refused together."""
    table = make_table()
    trial = table.begin_trial(ENGINE)
    assert not table.may_send(ENGINE, 4)
    table.end_trial(ENGINE, trial, accepted=True)
    trials = [table.begin_trial(ENGINE) for _ in range(2)]
    assert not table.may_send(ENGINE, 4)
    for one in trials:
        table.end_trial(ENGINE, one)
    assert table.may_send(ENGINE, 4)
    accept_sends(table, 7)
    assert not any(table.begin_trial(ENGINE) for _ in range(100))


def test_failed_trial_allows_the_next_one():
    """An endpoint that answers nothing must not stay unused for good."""
    table = make_table()
    trial = table.begin_trial(ENGINE)
    table.end_trial(ENGINE, trial)
    table.end_trial(ENGINE, trial)
    assert table.may_send(ENGINE, 4)
    table.begin_trial(ENGINE)
    assert not table.may_send(ENGINE, 4)


def test_table_is_bounded():
    table = BackoffTable()
    for number in range(20_000):
        table.begin_backoff((f'e-{number}', 0), 3, 0)
    assert len(table._backoffs) == 16_384
    table.begin_backoff(ENGINE, 3, 100)
    assert len(table._backoffs) == 1


@pytest.mark.parametrize('left_s', [0, 1, 2, 600])
def test_callers_return_while_they_can_be_served(left_s):
    rng = random.Random(1)
    retries = [choose_retry_after(left_s, 1, 3, rng) for _ in range(200)]
    assert min(retries) > 0
    assert max(retries) <= 1
    spread_s = max(retries) - min(retries)
    assert spread_s * 10 > 1


def test_urgent_callers_return_first():
    rng = random.Random(1)
    urgent, other = (
        [choose_retry_after(2, priority, 30, rng) for _ in range(200)]
        for priority in (0, 1)
    )
    assert 2 <= min(urgent)
    assert max(urgent) <= min(other)
