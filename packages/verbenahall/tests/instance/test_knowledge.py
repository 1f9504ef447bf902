"""When a starting instance has discovered enough of the fleet."""

import pytest

from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.instance._discovery import LIST_DELAY_S, is_fleet_discovered
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    apply_list,
    observe_failure,
)
from verbenahall.settings import (
    EffectiveSettings,
    PoolSettings,
    ServiceSettings,
)

LOCAL = 'ain'


def make_entry(name, kind=EndpointKind.ENGINE, data_centre=LOCAL, service=''):
    """Build an entry of the list; each name has a different address."""
    address = f'127.0.0.1:{sum(map(ord, name))}'
    endpoint = Endpoint(name, kind, address, data_centre, '1', service)
    return ListEntry(endpoint)


def make_settings(engines=(), services=()):
    """Return settings with engines of the local data centre and services."""
    settings = EffectiveSettings()
    settings.pools[LOCAL] = PoolSettings(
        LOCAL,
        LOCAL,
        tuple(engines),
        (),
        (),
        0,
        0,
        automatic=False,
        team='fleet',
    )
    for name in services:
        settings.services[name] = ServiceSettings(name, (), 'fleet')
    return settings


@pytest.fixture
def members():
    """Return the membership before the list was read."""
    return MembershipState()


def is_discovered(members, settings, reporting=(), now=0):
    """Return whether the fleet counts as discovered at a time."""
    return is_fleet_discovered(members, settings, LOCAL, set(reporting), now)


def test_empty_list_is_not_a_discovered_fleet(members):
    """The instance starts before the list shows any endpoint.

    The list shows registrations with a delay, so an instance may read it
    first. If it took requests then, callers would be told that no engine has
    their model and that their service does not exist.
    """
    settings = make_settings(['engine-1'], ['pages'])
    apply_list(members, [], 0)

    assert not is_discovered(members, settings)


@pytest.mark.parametrize('settings', [make_settings(), EffectiveSettings()])
def test_empty_list_is_accepted_after_its_delay(members, settings):
    """The settings name no endpoints, so only the delay decides."""
    apply_list(members, [], 0)

    assert not is_discovered(members, settings, now=LIST_DELAY_S / 2)
    assert is_discovered(members, settings, now=LIST_DELAY_S)


def test_unlisted_engine_is_awaited(members):
    """The list shows one of two engines that started at the same time."""
    settings = make_settings(['engine-1', 'engine-2'])
    apply_list(members, [make_entry('engine-1')], 0)

    assert not is_discovered(members, settings, ['engine-1'])

    entries = [make_entry('engine-1'), make_entry('engine-2')]
    apply_list(members, entries, 0.2)
    assert not is_discovered(members, settings, ['engine-1'], now=0.2)
    assert is_discovered(members, settings, ['engine-1', 'engine-2'], now=0.2)


def test_unlisted_service_is_awaited(members):
    """The engine is listed first, and the service a moment later."""
    settings = make_settings(['engine-1'], ['pages'])
    entries = [make_entry('engine-1')]
    apply_list(members, entries, 0)
    assert not is_discovered(members, settings, ['engine-1'])

    entries.append(make_entry('pages-1', EndpointKind.SERVICE, service='pages'))
    apply_list(members, entries, 0.2)
    assert is_discovered(members, settings, ['engine-1'], now=0.2)


def test_removed_engine_does_not_delay_readiness(members):
    """The settings still name an engine that was removed."""
    settings = make_settings(['engine-1', 'engine-2'])
    apply_list(members, [make_entry('engine-1')], 0)

    assert is_discovered(members, settings, ['engine-1'], now=LIST_DELAY_S)


def test_unread_list_leaves_the_fleet_undiscovered(members):
    """The list is unavailable while the instance starts."""
    assert not is_discovered(members, make_settings(), now=10 * LIST_DELAY_S)


def test_unresponsive_engine_does_not_delay_readiness(members):
    """One of the listed engines does not answer."""
    settings = make_settings(['engine-1', 'engine-2'])
    entries = [make_entry('engine-1'), make_entry('engine-2')]
    apply_list(members, entries, 0)
    for second in range(4):
        observe_failure(members, 'engine-2', second)

    assert is_discovered(members, settings, ['engine-1'], now=4)


def test_later_lists_do_not_restart_the_delay(members):
    """The list is polled several times a second."""
    settings = make_settings(['engine-1', 'engine-2'])
    entries = [make_entry('engine-1')]
    apply_list(members, entries, 0)
    apply_list(members, entries, LIST_DELAY_S)

    assert is_discovered(members, settings, ['engine-1'], now=LIST_DELAY_S)


def test_no_answer_from_any_engine_is_not_a_discovered_fleet(members):
    """No engine answered its first poll, since all processes are starting.

    The fleet is not empty: the next poll may get the first answer.
    """
    settings = make_settings(['engine-1'])
    apply_list(members, [make_entry('engine-1')], 0)
    for second in range(3):
        observe_failure(members, 'engine-1', second / 10)

    assert not is_discovered(members, settings, now=0.3)
    assert is_discovered(members, settings, now=LIST_DELAY_S)
