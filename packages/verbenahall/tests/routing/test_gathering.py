"""Long prompts are restricted to a part of the engines."""

import random

from hypothesis import given
from hypothesis import strategies as st

from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.load import LoadState
from verbenahall.routing import (
    Candidate,
    RoutingRequest,
    RoutingState,
    choose_endpoint,
)

LONG = RoutingRequest('long', 20_000, 50)
SHORT = RoutingRequest('short', 100, 200)


def build_pool(count):
    return [
        Candidate(
            Endpoint(f'e{number}', EndpointKind.ENGINE, '', 'dc', '1'),
            Role.MIXED,
        )
        for number in range(count)
    ]


def build_state(seed):
    return RoutingState(f'instance-{seed}', 'dc', random.Random(seed))


def repeat(times, *routing_requests):
    return [
        routing_request
        for _ in range(times)
        for routing_request in routing_requests
    ]


def choose_all(routing_requests, pool, seed=1):
    """Yield the ID of each request and the engine selected."""
    state = build_state(seed)
    load = LoadState()
    for number, routing_request in enumerate(routing_requests):
        choice = choose_endpoint(
            state, routing_request, pool, load, number / 10
        ).unwrap()
        yield routing_request.request, choice.endpoint.name


def test_rush_of_long_prompts_leaves_engines_to_streams():
    """A burst of long prompts arrives together with short streams.

    Long prompts on all engines would delay every stream, so some engines must
    get none of them.
    """
    taken = list(choose_all(repeat(200, LONG, SHORT), build_pool(6)))
    settled = taken[len(taken) // 2 :]
    long_engines = {name for kind, name in settled if kind == LONG.request}
    short_engines = {name for kind, name in settled if kind == SHORT.request}
    assert long_engines
    assert short_engines
    assert not long_engines & short_engines


def test_instances_gather_on_the_same_engines():
    """Each instance estimates the mix from its own requests only.

    If instances used different engines for long prompts, every engine would
    get some, and all streams would be delayed.
    """
    routing_requests = [*repeat(60, SHORT), LONG]
    repeated = [*routing_requests, *routing_requests, *routing_requests]
    last_choices = [
        list(choose_all(repeated, build_pool(6), seed))[-1] for seed in range(9)
    ]
    assert len(set(last_choices)) <= 2


@given(
    st.lists(
        st.tuples(st.integers(0, 40_000), st.integers(0, 500)),
        max_size=60,
    ),
    st.integers(1, 30),
)
def test_every_request_finds_an_engine(sizes, count):
    """No combination of prompt lengths may leave a request without engine."""
    pool = build_pool(count)
    state = build_state(1)
    load = LoadState()
    names = {candidate.endpoint.name for candidate in pool}
    for number, (prompt, output) in enumerate(sizes):
        routing_request = RoutingRequest(str(number), prompt, output)
        choice = choose_endpoint(
            state, routing_request, pool, load, float(number)
        ).unwrap()
        assert choice.endpoint.name in names


def test_long_prompts_alone_use_nearly_all_engines():
    """If only long prompts arrive, they must not queue for a few engines."""
    taken = set(choose_all(repeat(400, LONG), build_pool(6)))
    assert len(taken) >= 5


def test_after_a_pause_the_rest_gets_its_engines_back():
    """After a burst of long prompts, short ones must get all engines."""
    taken = list(
        choose_all([*repeat(200, LONG), *repeat(2000, SHORT)], build_pool(6))
    )
    assert len(set(taken[1000:])) == 6
