"""Long prompts gathered on a part of the engines."""

import random

from hypothesis import given
from hypothesis import strategies as st

from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.load import LoadState
from verbenahall.routing import Candidate, Question, RoutingState, choose

LONG = Question('long', 20_000, 50)
SHORT = Question('short', 100, 200)


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


def repeat(times, *questions):
    return [question for _ in range(times) for question in questions]


def choose_all(questions, pool, seed=1):
    """Yield each request's kind and the engine that took it."""
    state = build_state(seed)
    load = LoadState()
    for number, question in enumerate(questions):
        choice = choose(state, question, pool, load, number / 10).unwrap()
        yield question.request, choice.endpoint.name


def test_rush_of_long_prompts_leaves_engines_to_streams():
    """An archive rush runs beside blurbs that stream.

    Spread over all engines, the archives hold up every blurb and each comes
    late; some engines must stay free of them.
    """
    taken = list(choose_all(repeat(200, LONG, SHORT), build_pool(6)))
    settled = taken[len(taken) // 2 :]
    long = {name for kind, name in settled if kind == LONG.request}
    short = {name for kind, name in settled if kind == SHORT.request}
    assert long
    assert short
    assert not long & short


def test_instances_gather_on_the_same_engines():
    """Each instance sees its own arrivals and asks no other.

    If they gathered on different engines, every engine would get archives
    from one of them, and no blurb would be on time.
    """
    questions = [*repeat(60, SHORT), LONG]
    several = [*questions, *questions, *questions]
    last = [
        list(choose_all(several, build_pool(6), seed))[-1] for seed in range(9)
    ]
    assert len(set(last)) <= 2


@given(
    st.lists(
        st.tuples(st.integers(0, 40_000), st.integers(0, 500)),
        max_size=60,
    ),
    st.integers(1, 30),
)
def test_every_request_finds_an_engine(sizes, count):
    """Against the naive rule: any live candidate may take any request."""
    pool = build_pool(count)
    state = build_state(1)
    load = LoadState()
    names = {candidate.endpoint.name for candidate in pool}
    for number, (prompt, output) in enumerate(sizes):
        question = Question(str(number), prompt, output)
        choice = choose(state, question, pool, load, float(number)).unwrap()
        assert choice.endpoint.name in names


def test_long_prompts_alone_use_nearly_all_engines():
    """Only archives arrive; they must not wait for a few engines."""
    taken = set(choose_all(repeat(400, LONG), build_pool(6)))
    assert len(taken) >= 5


def test_after_a_pause_the_rest_gets_its_engines_back():
    """A rush ends; blurbs must not stay shut out of the rush's engines."""
    taken = list(
        choose_all([*repeat(200, LONG), *repeat(2000, SHORT)], build_pool(6))
    )
    assert len(set(taken[1000:])) == 6
