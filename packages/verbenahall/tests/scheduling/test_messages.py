"""Datagrams between instances and schedulers."""

import dataclasses

import pytest
from returns.maybe import Nothing, Some
from verbenahall import scheduling
from verbenahall.peers import decode_message
from verbenahall.placement import (
    UNKNOWN_SOURCE,
    Part,
    RequestSource,
    Work,
)

REQUEST = scheduling.ScheduleRequest(
    key='r-1/front-1/0',
    service='reader',
    group='ain/0',
    work=Work((Part('aa', 800), Part('bb', 200)), 1000, 50),
    gap_s=0.25,
    priority=1,
    due_s=0.5,
    objective_s=0.6,
    leaves_s=2.5,
    deadline_s=3.0,
    returning=True,
    tried=('engine-1',),
    source=RequestSource('f1', 'c1', 'press', 'r-1', 'front-1', 'ain'),
)
MESSAGES = (
    REQUEST,
    scheduling.Queued('k'),
    scheduling.Assignment('k', 'p', 'd', 200, 0.3, 0.1, 'home 0'),
    scheduling.Rejection('k', 'overloaded', 'full', 0.7),
    scheduling.Declined('k'),
    scheduling.Prefilled('k', 0.2),
    scheduling.FirstEvent('k', 0.3, 0.01),
    scheduling.Released('k', 0.004, 'p'),
)


@pytest.mark.parametrize(
    'message', MESSAGES, ids=lambda one: type(one).__name__
)
def test_message_round_trip(message):
    assert scheduling.decode(scheduling.encode(message)) == Some(message)


@pytest.mark.parametrize(
    'message', MESSAGES, ids=lambda one: type(one).__name__
)
def test_message_is_no_peer_message(message):
    """Both kinds of datagrams arrive at one socket."""
    assert decode_message(scheduling.encode(message)) is Nothing


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'\xff',
        b'[]',
        b'{"type":5}',
        b'{"type":"unheard"}',
        b'{"type":"queued"}',
        b'{"type":"prefilled","key":"k","seconds":"long"}',
        b'{"type":"assignment","key":"k","prefill":"p"}',
    ],
)
def test_malformed_datagrams_decode_to_nothing(datagram):
    """An instance of another version, or an unrelated host, sends other data.

    An exception in the callback of the socket would not appear in the log.
    """
    assert scheduling.decode(datagram) is Nothing


@pytest.mark.parametrize('field', ['parts', 'priority', 'due_s', 'tried'])
def test_request_with_an_invalid_field_decodes_to_nothing(field):
    """One field has a form that this version does not accept."""
    whole = scheduling.encode(REQUEST).decode()
    start = whole.index(f'"{field}":') + len(field) + 3
    invalid = f'{whole[:start]}null,"ignored":{whole[start:]}'

    assert scheduling.decode(invalid.encode()) is Nothing


def test_request_fits_a_datagram():
    """A longer datagram is fragmented, and lost with any of its fragments."""
    parts = tuple(Part(f'{number:08x}', 9999) for number in range(20))
    work = Work(parts, 200_000, 500)
    long = dataclasses.replace(REQUEST, work=work, tried=('e' * 20,) * 3)

    assert len(scheduling.encode(long)) <= 1400


def test_request_of_an_earlier_version_has_an_unknown_source():
    """An instance that is upgraded last sends no source."""
    unknown = dataclasses.replace(REQUEST, source=UNKNOWN_SOURCE)
    datagram = scheduling.encode(unknown)

    assert b'"fp"' not in datagram
    assert scheduling.decode(datagram) == Some(unknown)
