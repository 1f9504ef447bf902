"""An endpoint that is back after a failure gets few requests at first."""

import dataclasses
import random

import pytest
from verbenahall import endpoint_health
from verbenahall.roster import Entry, Listing, Roster, apply_entry

NAME = 'page-0'


@pytest.fixture
def table():
    """Health in which one endpoint has failed and a probe has reached it."""
    table = endpoint_health.EndpointHealthTable()
    table.record_unreachable(NAME, 0, born=1)
    endpoint_health.record_reachable(table, NAME)
    return table


def succeed(table, key, now):
    """Send a request and get its answer."""
    endpoint_health.begin_send(table, NAME, key, now)
    table.record_outcome(NAME, now, good=True)
    endpoint_health.end_send(table, NAME, key)


def test_endpoint_that_is_back_gets_one_request_at_a_time(table):
    # It was used in full after one accepted connection, so that each instance
    # lost its whole share if it failed again.
    assert not table.is_avoided(NAME, 1)
    endpoint_health.begin_send(table, NAME, 'a', 1)
    assert table.is_avoided(NAME, 1.1)
    endpoint_health.end_send(table, NAME, 'a')
    assert not table.is_avoided(NAME, 1.2)


def test_third_success_closes_the_breaker(table):
    for key in 'abc':
        assert not table.is_avoided(NAME, 1)
        succeed(table, key, 1)
    for key in 'de':
        endpoint_health.begin_send(table, NAME, key, 1)
        assert not table.is_avoided(NAME, 1)


def test_pause_doubles_with_each_failed_trial(table):
    now = 1.0
    pauses = []
    for _ in range(6):
        endpoint_health.begin_send(table, NAME, 'a', now)
        table.record_unreachable(NAME, now, born=1)
        breaker = table.get(NAME).breaker
        pauses.append(breaker.probe_at - now)
        assert not endpoint_health.list_probe_due(table, breaker.probe_at - 0.1)
        assert endpoint_health.list_probe_due(table, breaker.probe_at)
        now = breaker.probe_at
        endpoint_health.record_reachable(table, NAME)
    assert pauses == pytest.approx([0.5, 1, 2, 4, 8, 8])


def test_failures_of_earlier_requests_do_not_restart_the_pause(table):
    # Streams that were open when the endpoint was lost fail one after the
    # other, also after it is back.
    table.record_outcome(NAME, 1, good=False)
    assert not table.is_avoided(NAME, 1)


def test_end_of_a_stream_does_not_end_the_trial_of_the_next(table):
    endpoint_health.begin_send(table, NAME, 'stream', 1)
    table.record_outcome(NAME, 1, good=True)
    endpoint_health.begin_send(table, NAME, 'next', 2)
    endpoint_health.end_send(table, NAME, 'stream')
    assert table.is_avoided(NAME, 3)


def test_restarted_endpoint_is_not_excluded_for_its_predecessor():
    table = endpoint_health.EndpointHealthTable()
    table.record_unreachable(NAME, 0, born=1)
    entry = Entry(NAME, 'pages', '10.0.0.1:80', 'a', leaving=False, born=1)
    table.retain({NAME: Listing(entry)})
    assert table.is_avoided(NAME, 0.1)
    table.retain({NAME: Listing(dataclasses.replace(entry, born=2))})
    assert not table.is_avoided(NAME, 0.1)


def test_scheduler_may_use_the_engine_that_it_has_assigned():
    # The scheduler's own instance sent an assigned request back to it, as the
    # trial of that very request kept it from the engine.
    roster = Roster()
    entry = Entry(NAME, 'pages', '10.0.0.1:80', 'a', leaving=False)
    other = dataclasses.replace(entry, name='page-1')
    for one in (entry, other):
        apply_entry(roster, one, now=0)
    endpoints = endpoint_health.Endpoints(roster, random.Random(1), lambda: 1)
    endpoints.record_unreachable(entry, OSError())
    endpoints.record_reached(entry)
    endpoint_health.begin_trials(endpoints.health, (NAME,), 'a', 1)
    assert endpoints.list_assignable('pages', 1) == [other]
    assert endpoints.list_assigned('pages', 1) == [entry, other]
