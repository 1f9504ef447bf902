"""When a starting instance knows enough of the fleet to take requests."""

import pytest

from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.instance._discovery import LIST_DELAY_S, is_fleet_known
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

OWN = 'ain'


def make_entry(name, kind=EndpointKind.ENGINE, data_centre=OWN, service=''):
    """Build an entry of the list; each name has an address of its own."""
    address = f'127.0.0.1:{sum(map(ord, name))}'
    endpoint = Endpoint(name, kind, address, data_centre, '1', service)
    return ListEntry(endpoint)


def make_settings(engines=(), services=()):
    """Settings that name engines of the own data centre and services."""
    settings = EffectiveSettings()
    settings.pools[OWN] = PoolSettings(
        OWN, OWN, tuple(engines), (), (), 0, 0, automatic=False, team='fleet'
    )
    for name in services:
        settings.services[name] = ServiceSettings(name, (), 'fleet')
    return settings


@pytest.fixture
def members():
    """What an instance knows before it has read the list."""
    return MembershipState()


def ask(members, settings, heard=(), now=0):
    """Ask whether the fleet is known at a time."""
    return is_fleet_known(members, settings, OWN, set(heard), now)


def test_empty_list_is_not_a_known_fleet(members):
    """The instance is up before the list shows any endpoint.

    The list follows registrations with a delay, and a quick instance reads it
    first. Taking requests then, it tells callers that no engine holds their
    model and that their service does not exist.
    """
    settings = make_settings(['engine-1'], ['pages'])
    apply_list(members, [], 0)

    assert not ask(members, settings)


@pytest.mark.parametrize('settings', [make_settings(), EffectiveSettings()])
def test_empty_list_is_believed_after_its_delay(members, settings):
    """Nothing is named by the settings, so only time can tell."""
    apply_list(members, [], 0)

    assert not ask(members, settings, now=LIST_DELAY_S / 2)
    assert ask(members, settings, now=LIST_DELAY_S)


def test_half_listed_engines_are_waited_for(members):
    """The list shows one of two engines that started together."""
    settings = make_settings(['engine-1', 'engine-2'])
    apply_list(members, [make_entry('engine-1')], 0)

    assert not ask(members, settings, ['engine-1'])

    entries = [make_entry('engine-1'), make_entry('engine-2')]
    apply_list(members, entries, 0.2)
    assert not ask(members, settings, ['engine-1'], now=0.2)
    assert ask(members, settings, ['engine-1', 'engine-2'], now=0.2)


def test_unlisted_service_is_waited_for(members):
    """The engines are listed already, and the service a moment later."""
    settings = make_settings(['engine-1'], ['pages'])
    entries = [make_entry('engine-1')]
    apply_list(members, entries, 0)
    assert not ask(members, settings, ['engine-1'])

    entries.append(make_entry('pages-1', EndpointKind.SERVICE, service='pages'))
    apply_list(members, entries, 0.2)
    assert ask(members, settings, ['engine-1'], now=0.2)


def test_engine_that_is_gone_for_good_holds_up_nobody(members):
    """The settings still name an engine that was taken away."""
    settings = make_settings(['engine-1', 'engine-2'])
    apply_list(members, [make_entry('engine-1')], 0)

    assert ask(members, settings, ['engine-1'], now=LIST_DELAY_S)


def test_unread_list_leaves_the_fleet_unknown(members):
    """The list is down while the instance starts."""
    assert not ask(members, make_settings(), now=10 * LIST_DELAY_S)


def test_silent_engine_holds_up_nobody(members):
    """One of the listed engines does not answer."""
    settings = make_settings(['engine-1', 'engine-2'])
    entries = [make_entry('engine-1'), make_entry('engine-2')]
    apply_list(members, entries, 0)
    for second in range(4):
        observe_failure(members, 'engine-2', second)

    assert ask(members, settings, ['engine-1'], now=4)


def test_later_lists_do_not_start_the_delay_anew(members):
    """The list is polled several times a second."""
    settings = make_settings(['engine-1', 'engine-2'])
    entries = [make_entry('engine-1')]
    apply_list(members, entries, 0)
    apply_list(members, entries, LIST_DELAY_S)

    assert ask(members, settings, ['engine-1'], now=LIST_DELAY_S)


def test_all_listed_silent_at_the_start_is_not_a_known_fleet(members):
    """Every engine missed the first poll while all processes start.

    The fleet is unknown, not empty: each poll may bring the first answer.
    """
    settings = make_settings(['engine-1'])
    apply_list(members, [make_entry('engine-1')], 0)
    for second in range(3):
        observe_failure(members, 'engine-1', second / 10)

    assert not ask(members, settings, now=0.3)
    assert ask(members, settings, now=LIST_DELAY_S)
