"""Endpoint selection, its preferences and the load estimates behind it."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.errors import ErrorKind
from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.load import (
    LoadState,
    Report,
    compute_load_cost,
    estimate_load,
    record_failure,
    record_finished,
    record_report,
    record_sent,
)
from verbenahall.routing import (
    Candidate,
    RoutingRequest,
    RoutingState,
    choose_endpoint,
    rank_by_rendezvous,
    select_subset,
)

NAMES = st.integers(0, 30)
FLEETS = st.dictionaries(
    NAMES,
    st.tuples(
        st.sampled_from(('here', 'there')),
        st.sampled_from(Role),
        st.integers(0, 50),
    ),
    max_size=30,
)


def make_candidate(number, data_centre='here', role=Role.MIXED):
    name = f'e{number}'
    address = f'127.0.0.1:{number}'
    kind = EndpointKind.ENGINE
    return Candidate(Endpoint(name, kind, address, data_centre, '1'), role)


def make_routing(seed=1, instance='i1'):
    return RoutingState(instance, 'here', random.Random(seed))


def pick(candidates, load, times=1, seed=1, **attributes):
    """Select an endpoint several times without sending; return the names."""
    routing = make_routing(seed)
    routing_request = RoutingRequest('r', **attributes)
    chosen = [
        choose_endpoint(routing, routing_request, candidates, load, 0).unwrap()
        for _ in range(times)
    ]
    return [choice.endpoint.name for choice in chosen]


@given(FLEETS, st.frozensets(NAMES), st.integers(0, 9))
def test_choice_is_one_that_the_naive_router_allows(fleet, excluded, seed):
    """The naive router allows all endpoints that are not excluded, and only
    local ones if there are any. The selection must be one of these, and must
    fail exactly when there are none.
    """
    load = LoadState()
    candidates = []
    for index, (data_centre, role, busy) in fleet.items():
        record_report(load, f'e{index}', Report(busy, 0), 0)
        candidates.append(make_candidate(index, data_centre, role))
    excluded_names = frozenset(f'e{number}' for number in excluded)
    remaining = [
        row for row in candidates if row.endpoint.name not in excluded_names
    ]
    local = [row for row in remaining if row.endpoint.data_centre == 'here']
    allowed = {row.endpoint.name for row in local or remaining}
    routing_request = RoutingRequest('r', excluded=excluded_names)
    chosen = choose_endpoint(
        make_routing(seed), routing_request, candidates, load, 0
    )
    if allowed:
        assert chosen.unwrap().endpoint.name in allowed
        assert chosen.unwrap().endpoint.name not in chosen.unwrap().over
    else:
        assert chosen.failure().kind is ErrorKind.NO_ENDPOINT


@given(st.lists(st.integers(0, 9), max_size=60), st.integers(0, 9))
def test_local_work_equals_the_naive_tally(ends, seed):
    """Requests start and end in any order, and each end is recorded twice.
    The estimate of the instance's own work must equal a plain sum, or idle
    endpoints would count as busy for ever.
    """
    load, tally = LoadState(), {}
    source = random.Random(seed)
    for number, end in enumerate(ends):
        record_sent(load, 'e', f'a{number}', 0.25 * end, 0)
        tally[f'a{number}'] = 0.25 * end
        finished = f'a{source.randrange(number + 1)}'
        for _ in range(2):
            record_finished(load, 'e', finished, 0)
        tally.pop(finished, None)
        assert compute_load_cost(load, 'e', 0) == pytest.approx(
            sum(tally.values())
        )
        assert load.open_attempts == len(tally)


def test_busy_engine_loses_its_role_preference():
    """Long prompts go to the prefill engine, but not if its queue is far
    longer than that of the others.
    """
    load = LoadState()
    candidates = [
        make_candidate(1, role=Role.PREFILL),
        make_candidate(2, role=Role.DECODE),
    ]
    attributes = {'prompt_tokens': 9000, 'output_tokens': 50}
    assert set(pick(candidates, load, 50, **attributes)) == {'e1'}
    for number in range(20):
        record_sent(load, 'e1', f'a{number}', 1, 0)
    assert set(pick(candidates, load, 50, **attributes)) == {'e2'}


def test_prefix_stays_on_one_engine_until_it_is_busy():
    """Two instances route requests with the same prefix. Both must use the
    same engine, which has the prefix cached, until its queue costs more than
    the cached prefix saves.
    """
    load = LoadState()
    candidates = [make_candidate(number) for number in range(8)]
    first = set(pick(candidates, load, 30, seed=1, prefix='archive'))
    second = set(pick(candidates, load, 30, seed=2, prefix='archive'))
    assert first == second
    assert len(first) == 1
    for number in range(6):
        record_sent(load, *first, f'a{number}', 1, 0)
    assert not first & set(pick(candidates, load, 30, prefix='archive'))


def test_failing_endpoint_does_not_draw_traffic():
    """An endpoint that fails every request immediately always has an empty
    queue. Selected for that, it would fail most requests of the fleet.
    """
    load = LoadState()
    candidates = [make_candidate(number) for number in range(4)]
    for number in range(15):
        record_sent(load, f'e{number % 3}', f'a{number}', 1, 0)
    assert pick(candidates, load, 60).count('e3') > 50
    record_failure(load, 'e3', 0)
    assert 'e3' not in pick(candidates, load, 60)


def test_removed_endpoints_are_dropped():
    """Engines are replaced throughout the day. Entries of removed endpoints
    must be dropped, except while a request is still open there.
    """
    load = LoadState()
    for number in range(100):
        record_report(load, f'e{number}', Report(1, 0), 0)
    record_sent(load, 'e99', 'a', 1, 0)
    load.retain({'e0', 'e1'})
    assert set(load.endpoints) == {'e0', 'e1', 'e99'}
    record_finished(load, 'e99', 'a', 1)
    load.retain({'e0', 'e1'})
    assert set(load.endpoints) == {'e0', 'e1'}


def test_old_report_counts_as_the_mean_load():
    """A report that is a minute old has almost no weight: the engine's load
    is estimated as the mean load of all engines.
    """
    load = LoadState()
    for number in range(9):
        record_report(load, f'e{number}', Report(10, 0), 0)
    record_report(load, 'e9', Report(500, 0), 0)
    outdated = estimate_load(load, 'e9', 60)
    assert outdated.age_s == 60
    assert outdated.load == pytest.approx(load.mean_others)
    assert estimate_load(load, 'e9', 0).load == 500


def test_subsets_differ_and_are_stable_when_others_leave():
    """The subsets of sixty instances must cover most of a thousand engines.
    The removal of engines must change a subset only by those engines.
    """
    candidates = [make_candidate(number) for number in range(1000)]
    subsets = [set(select_subset(f'i{row}', candidates)) for row in range(60)]
    assert len(set.union(*subsets)) > 700
    kept = set(select_subset('i0', candidates[10:]))
    assert len(kept - subsets[0]) <= len(subsets[0] & set(candidates[:10]))
    assert rank_by_rendezvous('k', ['a', 'b']) == rank_by_rendezvous(
        'k',
        ['b', 'a'],
    )
