"""Which endpoints get work as their entries come, change and vanish."""

from verbenahall.roster import (
    Entry,
    Roster,
    drop,
    note_cut_off,
    put,
    replace,
)


def make_entry(name, **changes):
    given = {
        'name': name,
        'service': 'drafter',
        'address': f'10.0.0.{len(name)}:80',
        'data_centre': 'lampeter',
        'leaving': False,
    }
    return Entry(**{**given, **changes})


def make_roster(count=9):
    roster = Roster()
    replace(roster, [make_entry(f'e{n}') for n in range(count)], (), now=0)
    return roster


def live_names(roster, now):
    return {entry.name for entry in roster.live('drafter', now)}


def test_leaving_endpoint_gets_no_work():
    roster = make_roster()
    put(roster, make_entry('e1', leaving=True, change=3))
    assert 'e1' not in live_names(roster, 1)


def test_late_copy_of_an_old_entry_is_dropped():
    # An endpoint's first word was delayed and is written after it has said
    # that it leaves. Taken for new, work goes to an endpoint that exits, and
    # its callers see broken answers.
    roster = make_roster()
    put(roster, make_entry('e1', leaving=True, change=3))
    assert not put(roster, make_entry('e1', change=2))
    assert 'e1' not in live_names(roster, 1)


def test_late_copy_does_not_bring_back_one_that_is_gone():
    # The delayed word of an endpoint arrives after its entry was removed.
    # Work sent there waits for a machine that is no more.
    roster = make_roster()
    put(roster, make_entry('e1', leaving=True, change=3))
    drop(roster, 'e1', now=2)
    assert not put(roster, make_entry('e1', change=2))
    assert 'e1' not in live_names(roster, 3)


def test_restart_under_the_same_name_counts_anew():
    # An endpoint starts again under its name, and its counts begin at one.
    # Held against the old count it would get no work until it had caught up.
    roster = make_roster()
    put(roster, make_entry('e1', born=100, change=9))
    assert put(roster, make_entry('e1', born=200, change=1))
    assert 'e1' in live_names(roster, 1)


def test_word_of_an_earlier_start_is_dropped():
    roster = make_roster()
    put(roster, make_entry('e1', born=200, change=1))
    assert not put(roster, make_entry('e1', born=100, change=50))
    assert roster.seats['e1'].entry.born == 200


def test_removed_endpoint_is_gone_at_once():
    roster = make_roster()
    assert drop(roster, 'e1', now=5)
    assert 'e1' not in live_names(roster, 5)


def test_entries_that_lapse_with_the_store_are_used_until_they_return():
    # The store is away for longer than the endpoints' entries live. On its
    # return all are removed and come back within two seconds; believed, the
    # removals would leave a service without endpoints and refuse everybody.
    roster = make_roster()
    note_cut_off(roster, 10)
    for number in range(9):
        assert not drop(roster, f'e{number}', now=10.5)
    assert len(live_names(roster, 11)) == 9


def test_lapse_that_is_read_late_is_used_no_longer_than_the_bound():
    """An endpoint leaves without a word, and its removal is read late."""
    roster = make_roster()
    note_cut_off(roster, 10)
    assert not drop(roster, 'e1', now=11, listed_at=9.8)
    assert 'e1' in live_names(roster, 11.5)
    assert 'e1' not in live_names(roster, 11.7)


def test_removal_that_is_read_after_the_bound_takes_effect_at_once():
    roster = make_roster()
    note_cut_off(roster, 10)
    assert drop(roster, 'e1', now=12, listed_at=10)
    assert 'e1' not in roster.seats


def test_lapse_after_an_outage_is_used_from_its_reading():
    """Counted from before the outage, all endpoints were gone on its end."""
    roster = make_roster()
    note_cut_off(roster, 13.5)
    assert not drop(roster, 'e1', now=14, listed_at=None)
    assert 'e1' in live_names(roster, 15.7)


def test_lapsed_endpoint_that_stays_away_is_gone():
    # One of the lapsed endpoints has crashed meanwhile. Work sent to it
    # would wait for a connection that nobody takes.
    roster = make_roster()
    note_cut_off(roster, 10)
    drop(roster, 'e1', now=10.5)
    drop(roster, 'e2', now=10.5)
    put(roster, make_entry('e2', change=1))
    assert 'e1' not in live_names(roster, 12.5)
    assert 'e2' in live_names(roster, 12.5)


def test_leaving_endpoint_does_not_lapse():
    # It had said that it leaves before the store went away, so its removal
    # is no lapse and it must get nothing more.
    roster = make_roster()
    put(roster, make_entry('e1', leaving=True, change=2))
    note_cut_off(roster, 10)
    assert drop(roster, 'e1', now=10.5)


def test_many_removals_at_once_are_a_lapse():
    # The store was away without this instance asking meanwhile, so nothing
    # but the removals themselves shows it.
    roster = make_roster()
    for number in range(9):
        drop(roster, f'e{number}', now=20 + number / 100)
    assert len(live_names(roster, 20.5)) >= 5


def test_whole_list_takes_out_what_it_does_not_name():
    roster = make_roster(3)
    replace(roster, [make_entry('e0', change=1)], (), now=50)
    put(roster, make_entry('e0', change=2))
    assert 'e0' in live_names(roster, 52)
    assert live_names(roster, 53) == {'e0'}


def test_lapsed_endpoint_that_stays_away_is_forgotten():
    # Endpoints that never come back would be looked at in every choice.
    roster = make_roster()
    note_cut_off(roster, 10)
    drop(roster, 'e1', now=10.5)
    drop(roster, 'e2', now=13)
    assert 'e1' not in roster.seats
    assert 'e1' in roster.departed


def test_departed_are_remembered_within_a_bound():
    roster = Roster()
    for number in range(5000):
        put(roster, make_entry(f'e{number}', leaving=True))
        drop(roster, f'e{number}', now=number)
    assert len(roster.departed) <= 4096


def test_removals_of_other_services_are_no_lapse():
    # Engines are replaced while one of three page endpoints is taken away.
    # Taken for a lapse of the store, the page endpoint got work for 1.8 s
    # more, and then a request 2.05 s after its removal.
    roster = make_roster(9)
    for number in range(3):
        put(roster, make_entry(f'p{number}', service='pages'))
    assert drop(roster, 'e1', now=20)
    assert drop(roster, 'p1', now=20.1)
    assert [one.name for one in roster.live('pages', 20.2)] == ['p0', 'p2']


def test_two_of_three_may_vanish_together():
    roster = make_roster(3)
    assert drop(roster, 'e0', now=20)
    assert drop(roster, 'e1', now=20.1)
    assert live_names(roster, 20.2) == {'e2'}
