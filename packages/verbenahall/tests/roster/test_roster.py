"""Which endpoints may get requests after changes of their entries."""

import pytest

from verbenahall.roster import (
    Entry,
    Roster,
    apply_entry,
    apply_leaving,
    apply_list,
    apply_removal,
    record_leaving,
    record_store_outage,
)


def make_entry(name, **changes):
    defaults = {
        'name': name,
        'service': 'drafter',
        'address': f'10.0.0.{len(name)}:80',
        'data_centre': 'lampeter',
        'leaving': False,
    }
    return Entry(**{**defaults, **changes})


def make_roster(count=9):
    roster = Roster()
    apply_list(roster, [make_entry(f'e{n}') for n in range(count)], (), now=0)
    return roster


def live_names(roster, now):
    return {entry.name for entry in roster.list_live('drafter', now)}


def test_leaving_endpoint_gets_no_work():
    roster = make_roster()
    apply_entry(roster, make_entry('e1', leaving=True, change=3), now=1)
    assert 'e1' not in live_names(roster, 1)


def test_outdated_entry_is_rejected():
    # The store executes a delayed write of an endpoint's first entry after
    # the one that announces that it is leaving. If it were applied, requests
    # would be sent to an endpoint that exits, and their answers would break.
    roster = make_roster()
    apply_entry(roster, make_entry('e1', leaving=True, change=3), now=1)
    assert not apply_entry(roster, make_entry('e1', change=2), now=1)
    assert 'e1' not in live_names(roster, 1)


def test_outdated_entry_does_not_restore_a_removed_endpoint():
    # A delayed entry arrives after the removal of the endpoint. Requests sent
    # there would wait for a machine that no longer exists.
    roster = make_roster()
    apply_entry(roster, make_entry('e1', leaving=True, change=3), now=1)
    apply_removal(roster, 'e1', now=2)
    assert not apply_entry(roster, make_entry('e1', change=2), now=1)
    assert 'e1' not in live_names(roster, 3)


def test_restart_under_the_same_name_resets_the_change_count():
    # A restarted endpoint counts its changes from one. Compared with the old
    # count, its entries would be rejected until the count had caught up.
    roster = make_roster()
    apply_entry(roster, make_entry('e1', born=100, change=9), now=1)
    assert apply_entry(roster, make_entry('e1', born=200, change=1), now=1)
    assert 'e1' in live_names(roster, 1)


def test_entry_of_an_earlier_start_is_rejected():
    roster = make_roster()
    apply_entry(roster, make_entry('e1', born=200, change=1), now=1)
    assert not apply_entry(roster, make_entry('e1', born=100, change=50), now=1)
    assert roster.listings['e1'].entry.born == 200


@pytest.mark.parametrize('known', ({'change': 50}, {'born': 200, 'change': 5}))
def test_leaving_after_a_restart_under_the_same_name_is_heeded(known):
    # The counter of a restarted endpoint begins anew, and its clock may have
    # been set back; its leaving entry was rejected as an older one.
    roster = make_roster()
    apply_entry(roster, make_entry('e1', **known), now=1)
    assert not apply_entry(roster, make_entry('e1', change=1), now=1)
    assert apply_entry(roster, make_entry('e1', leaving=True, change=3), now=1)
    assert 'e1' not in live_names(roster, 1)


def test_late_leaving_entry_is_revoked_by_the_next_entry():
    # The store executes the leaving entry of an earlier start late.
    roster = make_roster()
    apply_entry(roster, make_entry('e1', born=200, change=5), now=1)
    apply_entry(
        roster, make_entry('e1', born=100, leaving=True, change=50), now=1
    )
    assert not apply_entry(roster, make_entry('e1', born=100, change=49), now=1)
    assert 'e1' not in live_names(roster, 1)
    assert apply_entry(roster, make_entry('e1', born=200, change=6), now=1)
    assert 'e1' in live_names(roster, 1)


def test_full_list_with_the_leaving_of_a_restarted_endpoint_is_heeded():
    # The instance reads the whole topic after its history was lost.
    roster = make_roster()
    apply_entry(roster, make_entry('e1', change=50), now=1)
    entries = [make_entry(f'e{n}') for n in range(9) if n != 1]
    leaving = make_entry('e1', leaving=True, change=3)
    apply_list(roster, [*entries, leaving], (), now=1)
    assert 'e1' not in live_names(roster, 2)


def test_leaving_of_an_unlisted_endpoint_changes_nothing():
    roster = make_roster()
    apply_removal(roster, 'e1', now=1)
    assert not apply_leaving(roster, 'e1')
    assert not apply_leaving(roster, 'stranger')


def test_removed_endpoint_gets_no_work():
    roster = make_roster()
    assert apply_removal(roster, 'e1', now=5)
    assert 'e1' not in live_names(roster, 5)


def test_entries_that_lapse_with_the_store_are_used_until_they_return():
    # In an outage of the store all entries expire. On its recovery they are
    # removed, and written again within two seconds. If the removals took
    # effect, the service would have no endpoints and refuse all requests.
    roster = make_roster()
    record_store_outage(roster, 10)
    for number in range(9):
        assert not apply_removal(roster, f'e{number}', now=10.5)
    assert len(live_names(roster, 11)) == 9


def test_lapsed_endpoint_is_not_used_beyond_the_limit():
    """An endpoint exits without an announcement; its removal is read late."""
    roster = make_roster()
    record_store_outage(roster, 10)
    assert not apply_removal(roster, 'e1', now=11, listed_at=9.8)
    assert 'e1' in live_names(roster, 11.5)
    assert 'e1' not in live_names(roster, 11.7)


def test_removal_read_after_the_limit_takes_effect_at_once():
    roster = make_roster()
    record_store_outage(roster, 10)
    assert apply_removal(roster, 'e1', now=12, listed_at=10)
    assert 'e1' not in roster.listings


def test_grace_after_an_outage_starts_when_the_removal_is_read():
    """A grace period that began before the outage would be over after it."""
    roster = make_roster()
    record_store_outage(roster, 13.5)
    assert not apply_removal(roster, 'e1', now=14, listed_at=None)
    assert 'e1' in live_names(roster, 15.7)


def test_lapsed_endpoint_without_new_entry_gets_no_work():
    # One of the lapsed endpoints has crashed. Requests sent to it would wait
    # for a connection that is never accepted.
    roster = make_roster()
    record_store_outage(roster, 10)
    apply_removal(roster, 'e1', now=10.5)
    apply_removal(roster, 'e2', now=10.5)
    apply_entry(roster, make_entry('e2', change=1), now=1)
    assert 'e1' not in live_names(roster, 12.5)
    assert 'e2' in live_names(roster, 12.5)


def test_leaving_endpoint_does_not_lapse():
    # The endpoint announced that it is leaving before the outage, so its
    # removal is not a lapse and takes effect at once.
    roster = make_roster()
    apply_entry(roster, make_entry('e1', leaving=True, change=2), now=1)
    record_store_outage(roster, 10)
    assert apply_removal(roster, 'e1', now=10.5)


def test_many_removals_at_once_are_a_lapse():
    # This instance made no call during the outage of the store, so only the
    # removals themselves show it.
    roster = make_roster()
    for number in range(9):
        apply_removal(roster, f'e{number}', now=20 + number / 100)
    assert len(live_names(roster, 20.5)) >= 5


def test_full_list_removes_unlisted_endpoints():
    roster = make_roster(3)
    apply_list(roster, [make_entry('e0', change=1)], (), now=50)
    apply_entry(roster, make_entry('e0', change=2), now=1)
    assert 'e0' in live_names(roster, 52)
    assert live_names(roster, 53) == {'e0'}


def test_lapsed_endpoint_without_new_entry_is_removed():
    # Endpoints that never return would be checked in every selection.
    roster = make_roster()
    record_store_outage(roster, 10)
    apply_removal(roster, 'e1', now=10.5)
    apply_removal(roster, 'e2', now=13)
    assert 'e1' not in roster.listings
    assert 'e1' in roster.removed


def test_number_of_removed_entries_is_bounded():
    roster = Roster()
    for number in range(5000):
        apply_entry(roster, make_entry(f'e{number}', leaving=True), now=1)
        apply_removal(roster, f'e{number}', now=number)
    assert len(roster.removed) <= 4096


def test_removals_of_other_services_are_no_lapse():
    # An engine is replaced while one of three page endpoints is removed.
    # Treated as a lapse, the page endpoint stayed in use for 1.8 s, and got a
    # request 2.05 s after its removal.
    roster = make_roster(9)
    for number in range(3):
        apply_entry(roster, make_entry(f'p{number}', service='pages'), now=1)
    assert apply_removal(roster, 'e1', now=20)
    assert apply_removal(roster, 'p1', now=20.1)
    assert [one.name for one in roster.list_live('pages', 20.2)] == ['p0', 'p2']


def test_two_removals_of_three_are_no_lapse():
    roster = make_roster(3)
    assert apply_removal(roster, 'e0', now=20)
    assert apply_removal(roster, 'e1', now=20.1)
    assert live_names(roster, 20.2) == {'e2'}


def test_announced_leaving_outlasts_later_entries():
    """An endpoint that leaves may still write that it is ready."""
    roster = make_roster()
    assert record_leaving(roster, ('e1', 0))
    assert not record_leaving(roster, ('e1', 0))
    assert 'e1' not in live_names(roster, 1)
    apply_entry(roster, make_entry('e1', change=5), now=1)
    assert 'e1' not in live_names(roster, 2)
    apply_list(roster, [make_entry(f'e{n}') for n in range(9)], (), now=3)
    assert 'e1' not in live_names(roster, 4)


def test_announced_leaving_outlasts_a_removal():
    """An entry that is written late lists a removed endpoint again."""
    roster = make_roster()
    record_leaving(roster, ('e1', 0))
    apply_removal(roster, 'e1', now=1)
    apply_entry(roster, make_entry('e1', change=5), now=1)
    assert 'e1' not in live_names(roster, 2)


def test_leaving_announced_after_the_removal_is_kept():
    """The answer to a request that was sent before the removal is late."""
    roster = make_roster()
    apply_removal(roster, 'e1', now=1)
    assert record_leaving(roster, ('e1', 0))
    apply_entry(roster, make_entry('e1', change=5), now=1)
    assert 'e1' not in live_names(roster, 2)


def test_next_incarnation_of_a_leaving_endpoint_is_used():
    roster = make_roster()
    record_leaving(roster, ('e1', 0))
    apply_entry(roster, make_entry('e1', born=7), now=1)
    assert 'e1' in live_names(roster, 1)
    # A late answer of the previous incarnation says nothing about this one.
    record_leaving(roster, ('e1', 0))
    assert 'e1' in live_names(roster, 2)


def test_leaving_incarnations_are_bounded():
    roster = make_roster()
    for number in range(5000):
        record_leaving(roster, (f'gone-{number}', 0))
    assert len(roster.announced) == 4096


def test_removed_endpoint_that_a_late_write_lists_again_gets_no_work():
    # The platform executes a heartbeat after the removal of an endpoint that
    # leaves. It was used for as long as that entry took to expire.
    roster = make_roster()
    apply_removal(roster, 'e1', now=2)
    apply_entry(roster, make_entry('e1', change=20), now=2.5)
    assert 'e1' not in live_names(roster, 6)


def test_full_list_with_a_late_write_of_a_removed_endpoint_gives_it_no_work():
    # The same, read by an instance that has missed the records between.
    roster = make_roster()
    entries = [make_entry(f'e{n}') for n in range(9)]
    apply_removal(roster, 'e1', now=2)
    apply_list(roster, [make_entry('e1', change=20), *entries[2:]], (), now=3)
    assert 'e1' not in live_names(roster, 6)


def test_removed_endpoint_that_stays_listed_again_is_used():
    roster = make_roster()
    apply_removal(roster, 'e1', now=2)
    apply_entry(roster, make_entry('e1', change=20), now=2.5)
    assert 'e1' in live_names(roster, 8)


def test_removed_endpoint_that_writes_twice_is_used_at_once():
    roster = make_roster()
    apply_removal(roster, 'e1', now=2)
    for change in (20, 21):
        apply_entry(roster, make_entry('e1', change=change), now=2.5)
    assert 'e1' in live_names(roster, 3)


def test_failed_endpoint_is_used_as_soon_as_it_is_listed_again():
    # The entry of an endpoint that could not be reached has expired. Waiting
    # for longer would leave its capacity unused after each cut of a link.
    roster = make_roster()
    apply_removal(roster, 'e1', now=2, has_failed=True)
    apply_entry(roster, make_entry('e1', change=20), now=2.5)
    assert 'e1' in live_names(roster, 3)


def test_endpoint_that_lapsed_with_the_store_is_used_when_it_is_listed_again():
    roster = make_roster()
    record_store_outage(roster, now=1)
    apply_removal(roster, 'e1', now=2)
    assert 'e1' not in live_names(roster, 5)
    apply_list(roster, [make_entry('e0')], (), now=5)
    apply_entry(roster, make_entry('e1', change=20), now=5.5)
    assert 'e1' in live_names(roster, 6)


def test_second_removal_of_an_endpoint_that_had_lapsed_is_a_leaving():
    roster = make_roster()
    apply_removal(roster, 'e1', now=2, has_failed=True)
    apply_entry(roster, make_entry('e1', change=20), now=2.5)
    apply_removal(roster, 'e1', now=9)
    apply_entry(roster, make_entry('e1', change=21), now=9.5)
    assert 'e1' not in live_names(roster, 10)


def test_endpoint_that_is_listed_again_is_used_while_it_is_the_only_one():
    # The entry of an only endpoint may have expired. Without it all requests of
    # the service were refused.
    roster = make_roster(count=1)
    apply_removal(roster, 'e0', now=2)
    apply_entry(roster, make_entry('e0', change=20), now=2.5)
    assert live_names(roster, 3) == {'e0'}
    assert roster.is_live('e0', 3)
    apply_entry(roster, make_entry('e1'), now=4)
    assert not roster.is_live('e0', 4)
