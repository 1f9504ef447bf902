"""The choice against a naive router, and its hints."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.errors import ErrorKind
from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.load import (
    LoadState,
    Report,
    believe,
    note_failed,
    note_finished,
    note_sent,
    observe_report,
    weigh,
)
from verbenahall.routing import (
    Candidate,
    Question,
    RoutingState,
    choose,
    rank_by_rendezvous,
    take_subset,
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


def pick(candidates, load, times=1, seed=1, **asked):
    """Choose so often with nothing sent in between; return the names."""
    routing = make_routing(seed)
    question = Question('r', **asked)
    chosen = [
        choose(routing, question, candidates, load, 0).unwrap()
        for _ in range(times)
    ]
    return [choice.endpoint.name for choice in chosen]


@given(FLEETS, st.frozensets(NAMES), st.integers(0, 9))
def test_choice_is_one_that_the_naive_router_allows(fleet, excluded, seed):
    """The naive router scans all endpoints that are not excluded, those of
    the own data centre first. Ours must choose among the same, and none just
    when the naive one has none.
    """
    load = LoadState()
    candidates = []
    for index, (data_centre, role, busy) in fleet.items():
        observe_report(load, f'e{index}', Report(busy, 0), 0)
        candidates.append(make_candidate(index, data_centre, role))
    out = frozenset(f'e{number}' for number in excluded)
    left = [row for row in candidates if row.endpoint.name not in out]
    near = [row for row in left if row.endpoint.data_centre == 'here']
    allowed = {row.endpoint.name for row in near or left}
    question = Question('r', excluded=out)
    chosen = choose(make_routing(seed), question, candidates, load, 0)
    if allowed:
        assert chosen.unwrap().endpoint.name in allowed
        assert chosen.unwrap().endpoint.name not in chosen.unwrap().over
    else:
        assert chosen.failure().kind is ErrorKind.NO_ENDPOINT


@given(st.lists(st.integers(0, 9), max_size=60), st.integers(0, 9))
def test_own_work_counts_as_the_naive_tally(ends, seed):
    """Requests start and end in any order, some told twice. The own work
    believed must equal a plain tally, or endpoints look busy for ever.
    """
    load, tally = LoadState(), {}
    source = random.Random(seed)
    for number, end in enumerate(ends):
        note_sent(load, 'e', f'a{number}', 0.25 * end, 0)
        tally[f'a{number}'] = 0.25 * end
        done = f'a{source.randrange(number + 1)}'
        for _ in range(2):
            note_finished(load, 'e', done, 0)
        tally.pop(done, None)
        assert weigh(load, 'e', 0) == pytest.approx(sum(tally.values()))
        assert load.open == len(tally)


def test_roles_are_hints_that_give_way_to_load():
    """Long prompts go to the prefill engine. When it is loaded far beyond
    the others, a caller must not wait there for the role's sake.
    """
    load = LoadState()
    candidates = [
        make_candidate(1, role=Role.PREFILL),
        make_candidate(2, role=Role.DECODE),
    ]
    asked = {'prompt_tokens': 9000, 'output_tokens': 50}
    assert set(pick(candidates, load, 50, **asked)) == {'e1'}
    for number in range(20):
        note_sent(load, 'e1', f'a{number}', 1, 0)
    assert set(pick(candidates, load, 50, **asked)) == {'e2'}


def test_prefix_gathers_on_one_engine_until_it_is_busy():
    """Two instances get requests with one long prefix. Both send them to the
    same engine, whose cache holds it, until its queue costs more than that.
    """
    load = LoadState()
    candidates = [make_candidate(number) for number in range(8)]
    first = set(pick(candidates, load, 30, seed=1, prefix='archive'))
    second = set(pick(candidates, load, 30, seed=2, prefix='archive'))
    assert first == second
    assert len(first) == 1
    for number in range(6):
        note_sent(load, *first, f'a{number}', 1, 0)
    assert not first & set(pick(candidates, load, 30, prefix='archive'))


def test_failing_endpoint_does_not_draw_traffic():
    """An endpoint fails at once, so its queue is always empty and it looks
    the best. Chosen for that, it would fail most of the fleet's requests.
    """
    load = LoadState()
    candidates = [make_candidate(number) for number in range(4)]
    for number in range(15):
        note_sent(load, f'e{number % 3}', f'a{number}', 1, 0)
    assert pick(candidates, load, 60).count('e3') > 50
    note_failed(load, 'e3', 0)
    assert 'e3' not in pick(candidates, load, 60)


def test_endpoints_that_are_gone_are_forgotten():
    """Engines are replaced all day. Those that are gone must not stay in
    memory for ever, but one where work is open still counts it.
    """
    load = LoadState()
    for number in range(100):
        observe_report(load, f'e{number}', Report(1, 0), 0)
    note_sent(load, 'e99', 'a', 1, 0)
    load.keep({'e0', 'e1'})
    assert set(load.endpoints) == {'e0', 'e1', 'e99'}
    note_finished(load, 'e99', 'a', 1)
    load.keep({'e0', 'e1'})
    assert set(load.endpoints) == {'e0', 'e1'}


def test_old_report_neither_draws_nor_repels():
    """An engine's last report is a minute old. What it said is nearly
    forgotten: the engine counts as loaded like the mean of the others.
    """
    load = LoadState()
    for number in range(9):
        observe_report(load, f'e{number}', Report(10, 0), 0)
    observe_report(load, 'e9', Report(500, 0), 0)
    old = believe(load, 'e9', 60)
    assert old.age_s == 60
    assert old.load == pytest.approx(load.mean_others)
    assert believe(load, 'e9', 0).load == 500


def test_subsets_differ_and_stay_when_others_leave():
    """Hundreds of instances must not watch the same few of a thousand
    engines, and an engine that leaves must not move everybody's subset.
    """
    candidates = [make_candidate(number) for number in range(1000)]
    subsets = [set(take_subset(f'i{row}', candidates)) for row in range(60)]
    assert len(set.union(*subsets)) > 700
    kept = set(take_subset('i0', candidates[10:]))
    assert len(kept - subsets[0]) <= len(subsets[0] & set(candidates[:10]))
    assert rank_by_rendezvous('k', ['a', 'b']) == rank_by_rendezvous(
        'k',
        ['b', 'a'],
    )
