"""Endpoints' status from a lagging list, their reports and failures."""

import random

import pytest

from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    apply_list,
    get_status,
    list_live,
    observe_answer,
    observe_failure,
    observe_leaving,
    observe_state,
    take_due_probes,
)


def make_entry(name, *, leaving=False, **fields):
    endpoint = {
        'kind': EndpointKind.ENGINE,
        'address': f'127.0.0.1:{name}',
        'data_centre': 'ain',
        'incarnation': 'a',
        **fields,
    }
    return ListEntry(Endpoint(name, **endpoint), leaving)


def make_state(*entries):
    changes = []
    state = MembershipState(notify=changes.append)
    apply_list(state, entries, 0)
    return state, changes


def names(state, now):
    return [one.name for one in list_live(state, EndpointKind.ENGINE, now)]


ENTRIES = tuple(make_entry(f'engine-{number}') for number in range(6))


def test_list_says_leaving():
    """The platform removes an engine and lists it as leaving.

    Later requests to it would be refused or broken off.
    """
    state, changes = make_state(*ENTRIES)
    apply_list(state, (*ENTRIES[:5], make_entry('engine-5', leaving=True)), 1)

    assert 'engine-5' not in names(state, 1)
    assert changes[-1].after is EndpointStatus.LEAVING


def test_own_word_outlives_a_lagging_list():
    """An engine reports that it is leaving while the list shows it as live.

    The list's next poll must not let it get requests again.
    """
    state, _ = make_state(*ENTRIES)
    observe_leaving(state, 'engine-0', 1)
    apply_list(state, ENTRIES, 2)

    assert 'engine-0' not in names(state, 2)

    observe_state(state, 'engine-0', 'a', leaving=False, now=3)
    assert 'engine-0' in names(state, 3)


@pytest.mark.parametrize('kept', [0, 1, 3])
def test_shrunken_list_empties_nothing(kept):
    """The list restarts or is truncated and shows few entries or none.

    Callers would get errors although all engines answer.
    """
    state, _ = make_state(*ENTRIES)
    apply_list(state, ENTRIES[:kept], 1)

    assert len(names(state, 1)) == 6

    # One failure is enough for an engine that the list has dropped.
    observe_failure(state, 'engine-5', 2)
    assert names(state, 2) == [f'engine-{number}' for number in range(5)]


def test_trickle_of_removals_stops():
    """A faulty list loses one engine at each poll.

    Each step looks like a normal removal; together they remove all engines.
    """
    state, _ = make_state(*ENTRIES)
    for kept in range(5, -1, -1):
        apply_list(state, ENTRIES[:kept], 6 - kept)

    assert len(names(state, 7)) == 4


def test_one_removal_is_believed():
    """An engine disappears from the list without being listed as leaving."""
    state, _ = make_state(*ENTRIES)
    apply_list(state, ENTRIES[1:], 1)

    assert len(names(state, 1)) == 5
    assert get_status(state, 'engine-0', 1) is EndpointStatus.LEAVING
    assert get_status(state, 'engine-0', 90) is EndpointStatus.SILENT


@pytest.mark.parametrize(
    ('failures', 'status'),
    [
        ((1, 1.1), EndpointStatus.LIVE),
        ((1, 1.1, 1.2), EndpointStatus.SILENT),
        ((1, 3), EndpointStatus.SILENT),
    ],
)
def test_failures_in_a_row(failures, status):
    """An engine hangs or is killed, and requests to it fail."""
    state, _ = make_state(*ENTRIES)
    for now in failures:
        observe_failure(state, 'engine-0', now)

    assert get_status(state, 'engine-0', 3) is status


def test_new_incarnation_starts_clean():
    """A crashed engine is replaced under its name and address.

    With the failures of the previous process a healthy one would get no
    requests.
    """
    state, _ = make_state(*ENTRIES)
    for _ in range(3):
        observe_failure(state, 'engine-0', 1)
    apply_list(
        state, (make_entry('engine-0', incarnation='b'), *ENTRIES[1:]), 2
    )

    assert 'engine-0' in names(state, 2)

    # The list lags again: the old incarnation must not be restored.
    observe_leaving(state, 'engine-0', 3)
    apply_list(state, ENTRIES, 4)
    assert 'engine-0' not in names(state, 4)


def test_own_word_of_a_new_incarnation():
    """A new incarnation answers before the list shows it."""
    state, _ = make_state(*ENTRIES)
    observe_leaving(state, 'engine-0', 1)
    observe_state(state, 'engine-0', 'b', leaving=False, now=2)
    apply_list(state, ENTRIES, 3)

    assert 'engine-0' in names(state, 3)


def test_list_that_names_lives_in_its_own_way():
    """The list always shows another incarnation than the engine.

    If that counted as lag for ever, its leaving mark would be ignored.
    """
    state, _ = make_state(*ENTRIES)
    observe_state(state, 'engine-0', 'own', leaving=False, now=1)
    marked = (make_entry('engine-0', leaving=True), *ENTRIES[1:])
    apply_list(state, marked, 32)

    assert get_status(state, 'engine-0', 32) is EndpointStatus.LEAVING


def test_reused_address():
    """The platform gives the address of a removed engine to another one.

    Requests for the old name would reach the wrong process.
    """
    state, _ = make_state(*ENTRIES)
    address = ENTRIES[0].endpoint.address
    apply_list(state, (*ENTRIES, make_entry('engine-9', address=address)), 1)

    assert names(state, 1) == [
        *(f'engine-{number}' for number in range(1, 6)),
        'engine-9',
    ]


def fail(state, name, now):
    for _ in range(3):
        observe_failure(state, name, now)


def test_flapping_is_damped():
    """An engine repeatedly answers a probe, gets requests and fails again.

    Each round costs callers three attempts.
    """
    state, _ = make_state(*ENTRIES)
    needed = []
    for now in range(1, 9):
        fail(state, 'engine-0', now)
        answers = 0
        while get_status(state, 'engine-0', now) is EndpointStatus.SILENT:
            observe_answer(state, 'engine-0', now + 0.5)
            answers += 1
        needed.append(answers)

    assert needed == [1, 2, 3, 4, 5, 5, 5, 5]


def test_probes_are_few_and_spread():
    """A data centre recovers after all engines in it were unresponsive.

    Instances that probe all engines at the same time would add to the load.
    """
    entries = [
        make_entry(f'e{number}', address=f'1:{number}') for number in range(40)
    ]
    state, _ = make_state(*entries)
    for entry in entries:
        fail(state, entry.endpoint.name, 1)
    rng = random.Random(7)
    counts = [
        len(take_due_probes(state, 1.5 + tick / 10, rng)) for tick in range(100)
    ]

    assert max(counts) <= 4
    assert take_due_probes(MembershipState(), 1, rng) == ()
    assert sum(counts) < 40 * 6
