"""Decisions on alerts about endpoints that are not reached."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall import endpoint_alerts
from verbenahall.peers import PeerTable, add_peer

Alert = endpoint_alerts.Alert
Verdict = endpoint_alerts.Verdict
Why = endpoint_alerts.Why


def make_alert(number=0, why=Why.REFUSED, data_centre='a', **changes):
    changes.setdefault('age_s', 0)
    return Alert(
        'm', (f'e{number}', 7), why, data_centre=data_centre, **changes
    )


def make_view(*, is_listed=True, count=12, answered_at=-1.0, data_centre='b'):
    return endpoint_alerts.EndpointView(
        is_listed, count, answered_at, data_centre
    )


@pytest.fixture
def table():
    """The alerts of an instance that has received none."""
    return endpoint_alerts.AlertTable()


def receive(table, alert, now=10.0, **view):
    effects = endpoint_alerts.receive(table, alert, make_view(**view), now)
    return effects.verdict


def test_refused_connection_is_accepted_by_all(table):
    assert receive(table, make_alert()) is Verdict.ACCEPTED
    assert receive(table, make_alert()) is Verdict.KNOWN


def test_timeout_is_accepted_elsewhere_after_two_data_centres(table):
    # One data centre has lost its path to an endpoint that all others reach.
    dark = make_alert(why=Why.DARK)
    assert receive(table, dark, data_centre='a') is Verdict.ACCEPTED
    other = endpoint_alerts.AlertTable()
    assert receive(other, dark) is Verdict.UNCONFIRMED
    assert receive(other, dark) is Verdict.UNCONFIRMED
    second = make_alert(why=Why.DARK, data_centre='c')
    assert receive(other, second, now=11) is Verdict.ACCEPTED


def test_two_timeouts_far_apart_do_not_confirm_each_other(table):
    assert receive(table, make_alert(why=Why.DARK)) is Verdict.UNCONFIRMED
    late = make_alert(why=Why.DARK, data_centre='c')
    assert receive(table, late, now=13) is Verdict.UNCONFIRMED


def test_later_answer_refutes_an_alert(table):
    # An instance is served by an endpoint that another one does not reach.
    assert receive(table, make_alert(), answered_at=10.1) is Verdict.REFUTED
    assert receive(table, make_alert(), answered_at=9.9) is Verdict.ACCEPTED


def test_endpoint_that_left_or_restarted_is_not_excluded(table):
    assert receive(table, make_alert(), is_listed=False) is Verdict.UNLISTED
    assert not table.reports


def test_alerts_on_over_half_of_a_service_are_withdrawn(table):
    # An overload or a network fault makes endpoints look away together. If all
    # instances left them out, the others would fail under their load.
    verdicts = [receive(table, make_alert(number)) for number in range(6)]
    assert set(verdicts) == {Verdict.ACCEPTED}
    effects = endpoint_alerts.receive(table, make_alert(6), make_view(), 10.5)
    assert effects.verdict is Verdict.TOO_MANY
    assert len(effects.withdrawn) == 6
    assert receive(table, make_alert(8), now=12) is Verdict.ACCEPTED


def test_only_endpoint_of_a_service_is_not_excluded(table):
    assert receive(table, make_alert(), count=1) is Verdict.TOO_MANY


def test_alert_is_relayed_once_and_no_further(table):
    # Relays that pass on what relays sent would flood the fleet.
    relays = [
        endpoint_alerts.receive(table, alert, make_view(), 10).relays
        for alert in (
            make_alert(),
            make_alert(),
            make_alert(data_centre='b'),
            make_alert(data_centre='c', relayed=True),
            make_alert(data_centre='d'),
        )
    ]
    assert relays == [True, False, False, False, False]


def test_timeouts_of_two_data_centres_are_relayed(table):
    relays = [
        endpoint_alerts.receive(
            table, make_alert(why=Why.DARK, data_centre=place), make_view(), 10
        ).relays
        for place in 'aacd'
    ]
    assert relays == [True, False, True, False]


def test_known_failure_is_not_sent_again(table):
    dark = make_alert(why=Why.DARK, data_centre='b')
    assert endpoint_alerts.is_news(table, dark, 10)
    receive(table, dark)
    assert not endpoint_alerts.is_news(table, dark, 10.1)
    # It is the second data centre's confirmation, and more than a timeout.
    elsewhere = make_alert(why=Why.DARK, data_centre='c')
    assert endpoint_alerts.is_news(table, elsewhere, 10.1)
    refused = make_alert(data_centre='b')
    assert endpoint_alerts.is_news(table, refused, 10.1)


def test_probe_that_reaches_the_endpoint_ends_the_exclusion(table):
    receive(table, make_alert())
    reached = make_alert(why=Why.REACHED, data_centre='b')
    assert endpoint_alerts.is_news(table, reached, 10.1)
    effects = endpoint_alerts.receive(table, reached, make_view(), 10.2)
    assert effects.withdrawn == (('e0', 7),)
    # The second copy of the alert is on its way for 60 ms longer.
    assert receive(table, make_alert(age_s=0.3), now=10.25) is Verdict.REFUTED
    assert not endpoint_alerts.is_news(table, reached, 10.3)


def test_state_is_bounded(table):
    for number in range(5_000):
        receive(table, make_alert(number), count=1_000_000)
    assert len(table.reports) == 4_096


def test_copies_go_to_two_relays_of_each_other_data_centre():
    peer_table = PeerTable('a0', 'a')
    for name in ('a1', 'b0', 'b1', 'b2', 'c0'):
        add_peer(peer_table, name, f'10.0.0.1:{name}', name[0])
    relays = [
        endpoint_alerts.list_relays(peer_table, ('e0', 7), copy)
        for copy in range(2)
    ]
    assert [[one.data_centre for one in copy] for copy in relays] == [
        ['b', 'c'],
        ['b', 'c'],
    ]
    assert relays[0][0] is not relays[1][0]


def test_alert_is_encoded_in_a_small_datagram():
    alert = make_alert(why=Why.DARK, relayed=True)
    datagram = endpoint_alerts.encode(alert)
    assert endpoint_alerts.decode(datagram).unwrap() == alert
    assert len(datagram) < 200


@given(st.binary(max_size=60))
def test_junk_is_no_alert(junk):
    prefix = b'{"type":"endpoint_alert"'
    for datagram in (junk, prefix + junk, b'{"type":"endpoint_alert","at":-1}'):
        found = endpoint_alerts.decode(datagram).value_or(None)
        assert found is None or isinstance(found, Alert)


@pytest.mark.parametrize(
    ('cause', 'why'),
    [
        (ConnectionRefusedError(), Why.REFUSED),
        (TimeoutError(), Why.DARK),
        (OSError(113, 'no route to host'), Why.DARK),
        (OSError(24, 'too many open files'), None),
        (ConnectionResetError(), None),
    ],
)
def test_causes_of_this_instance_are_not_reported(cause, why):
    assert endpoint_alerts.classify_cause(cause) is why
