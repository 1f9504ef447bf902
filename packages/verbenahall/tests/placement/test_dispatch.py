"""Order of the prefill queue, admission, and refusals."""

import random

import pytest
from verbenahall.fleet import Role
from verbenahall.overload import EngineShare
from verbenahall.placement import (
    Fleet,
    Part,
    PlacementRequest,
    PlacementState,
    PrefillQueue,
    QueuedRequest,
    Totals,
    Work,
    dispatch,
    enqueue,
)
from verbenahall_standins.replay import TRAITS, make_entry

RNG = random.Random(7)


def make_fleet(queue, prefill_count=1, decode_count=1):
    engines = [
        *(make_entry(f'r{n}', Role.PREFILL) for n in range(prefill_count)),
        *(make_entry(f'g{n}', Role.DECODE) for n in range(decode_count)),
    ]
    return Fleet(PlacementState(), engines, TRAITS, len(queue.waiting))


def make_queued(name='t', *, priority=0, queued_at=0, due=0.5, **changes):
    work = Work((Part('form', 6_000), Part(name, 3_000)), 9_000, 2)
    return QueuedRequest(
        request_id=name,
        placement_request=PlacementRequest(work, 0.2),
        priority=priority,
        queued_at=queued_at,
        due_at=queued_at + due,
        objective_s=0.5,
        leaves_at=queued_at + 2,
        **changes,
    )


def fill_queue(fleet, queue, *requests, now=0):
    """Queue requests behind a prefill that the instance has open."""
    for engine in fleet.engines:
        fleet.state.load_table.open(engine.name, Totals(prefill_tokens=200_000))
    for pending in requests:
        enqueue(queue, pending, fleet, now, RNG)


def list_order(queue, now=0):
    ranked = queue.rank_waiting(EngineShare(frozenset(('r0',))), now)
    return [pending.request_id for pending in ranked]


def test_first_request_is_admitted_at_once():
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    enqueue(queue, make_queued(), fleet, 0, RNG)
    effects = dispatch(queue, fleet, 0, RNG)
    assert [one.pending.request_id for one in effects.admitted] == ['t']
    prefill_engine = effects.admitted[0].plan.prefill_engine.name
    assert (
        fleet.state.load_table.local_totals(prefill_engine).prefill_tokens
        == 3_000
    )


def test_no_admission_while_the_engines_are_busy():
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    fill_queue(fleet, queue, make_queued())
    assert not dispatch(queue, fleet, 0, RNG).admitted
    assert len(queue.waiting) == 1


def test_order_is_priority_then_on_time_then_returning():
    # A caller that was refused and returns is past its objective already.
    # Behind all new requests that are past theirs as well, it would be refused
    # again.
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    fill_queue(
        fleet,
        queue,
        make_queued('late', due=0.01),
        make_queued('returned', due=0.01, returning=True),
        make_queued('ordinary', priority=1),
        make_queued('on-time'),
        make_queued('sooner', due=0.4),
    )
    assert list_order(queue) == [
        'sooner',
        'on-time',
        'returned',
        'late',
        'ordinary',
    ]


def test_expiring_request_is_refused_at_once():
    # Its caller leaves before the first event can arrive. If it were queued,
    # the caller would get the refusal only at its deadline.
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    pending = make_queued()
    pending.leaves_at = 0.01
    effects = enqueue(queue, pending, fleet, 0, RNG)
    refused, problem = effects.refused[0]
    assert refused is pending
    assert problem.answer.ran.value == 'no'
    assert not queue.waiting


def test_queued_request_is_refused_once_it_will_expire():
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    fill_queue(fleet, queue, make_queued())
    assert not dispatch(queue, fleet, 1.0, RNG).refused
    effects = dispatch(queue, fleet, 1.99, RNG)
    assert [pending.request_id for pending, _ in effects.refused] == ['t']


def test_late_check_includes_recent_first_event_delays():
    # Engines are slower than estimated. By the old estimate, requests would be
    # admitted at the last moment, and all of them would be past their
    # objective.
    queue = PrefillQueue()
    pending = make_queued(due=0.3)
    fleet = make_fleet(queue)
    enqueue(queue, pending, fleet, 0, RNG)
    assert not pending.is_late(queue.predict_start(pending, 0))
    for _ in range(40):
        queue.record_first_event(pending, pending.expected_first_s + 0.3, 0)
    assert pending.is_late(queue.predict_start(pending, 0))
    for _ in range(80):
        queue.record_first_event(pending, pending.expected_first_s, 0)
    assert not pending.is_late(queue.predict_start(pending, 0))


def test_engines_that_failed_a_request_are_skipped():
    queue = PrefillQueue()
    fleet = make_fleet(queue, prefill_count=2)
    pending = make_queued(tried=frozenset(('r0',)))
    enqueue(queue, pending, fleet, 0, RNG)
    admitted = dispatch(queue, fleet, 0, RNG).admitted[0]
    assert admitted.plan.prefill_engine.name == 'r1'


def test_without_engines_requests_are_refused():
    queue = PrefillQueue()
    fleet = Fleet(PlacementState(), [], TRAITS)
    _, problem = enqueue(queue, make_queued(), fleet, 0, RNG).refused[0]
    assert problem.kind.value == 'no_endpoint'


@pytest.mark.parametrize('waiting', [0, 5, 40])
def test_retry_after_follows_the_queue_and_leaves_time(waiting):
    # A retry time after the caller's deadline loses the request; one that is
    # too short finds the same queue again.
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    for number in range(waiting):
        queue.waiting.append(make_queued(f'w{number}'))
    pending = make_queued()
    pending.leaves_at = 0.02
    _, problem = enqueue(queue, pending, fleet, 0, RNG).refused[0]
    assert 0.1 <= problem.retry_after_s <= 0.25


def test_prefills_of_peers_reduce_the_share():
    # Alone, an instance may have a second prefill open at an engine, so that
    # the engine never idles between the two. With five peers that do the same,
    # the prefills of all would slow each other down.
    alone = PrefillQueue()
    with_peers = PrefillQueue()
    counts = []
    for queue, peers in ((alone, 0), (with_peers, 5)):
        fleet = make_fleet(queue, decode_count=0)
        fleet = Fleet(
            fleet.state,
            [*fleet.engines, make_entry('g0', Role.DECODE)],
            TRAITS,
        )
        for peer in range(peers):
            report = {'other': Totals(prefill_tokens=3_000)}
            fleet.state.load_table.set_peer_loads(f'p{peer}', report, 0)
        for number in range(4):
            work = Work((Part('form', 6_000), Part(f'{number}', 1_500)), 7_500)
            pending = make_queued(f't{number}')
            pending.placement_request = PlacementRequest(work, 0.2)
            enqueue(queue, pending, fleet, 0, RNG)
        effects = dispatch(queue, fleet, 0, RNG)
        counts.append(
            sum(
                one.plan.prefill_engine is not None for one in effects.admitted
            ),
        )
    assert counts[1] == 1
    assert counts[0] > 1


def test_queue_is_refused_when_the_last_decode_engine_is_lost():
    # The only decode engine crashes while requests are queued. They cannot be
    # served here; held until they expire, callers would lose two seconds that
    # they need to be served elsewhere.
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    fill_queue(fleet, queue, make_queued('a'), make_queued('b'))
    left = Fleet(fleet.state, fleet.engines[:1], TRAITS)
    effects = dispatch(queue, left, 0.1, RNG)
    assert [pending.request_id for pending, _ in effects.refused] == ['a', 'b']
    kinds = {problem.kind.value for _, problem in effects.refused}
    assert kinds == {'no_endpoint'}
    assert not queue.waiting


class CountingFleet(Fleet):
    """Counts how often a request is placed."""

    place_calls = 0

    def place(self, pending, now):
        CountingFleet.place_calls += 1
        return super().place(pending, now)


def test_a_look_at_a_long_queue_costs_little():
    # Two hundred requests wait for busy engines, and there are about a hundred
    # dispatches a second. Placing each request at each dispatch took all
    # processor time of an instance: it parsed new requests a second late, and
    # sent some whose callers had left.
    queue = PrefillQueue()
    fleet = make_fleet(queue, prefill_count=4, decode_count=2)
    requests = [make_queued(f't{number}') for number in range(200)]
    fill_queue(fleet, queue, *requests)
    counting = CountingFleet(fleet.state, fleet.engines, TRAITS, 200)
    CountingFleet.place_calls = 0
    dispatch(queue, counting, 0.1, RNG)
    assert CountingFleet.place_calls <= 8


def test_slow_first_events_do_not_send_callers_away_that_stay():
    # Prefills of long prompts take a tenth of a second and more, and first
    # events are delayed by as much. With that delay counted twice, callers
    # were refused that had half of their time left: one in six on a day with
    # crashes.
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    pending = make_queued()
    fill_queue(fleet, queue, pending)
    for number in range(120):
        at = 1.2 if number < 60 else 1.6
        queue.record_first_event(pending, pending.expected_first_s + 0.5, at)
        if number == 59:
            assert not dispatch(queue, fleet, 1.2, RNG).refused
    assert dispatch(queue, fleet, 1.6, RNG).refused


def test_engines_that_were_slow_are_tried_again():
    # Engines were so slow for a while that first events came after callers had
    # left. By that delay estimate every later request would expire, and
    # refused requests don't show that the engines have recovered: an instance
    # would refuse all callers for ever in front of idle engines.
    queue = PrefillQueue()
    fleet = make_fleet(queue)
    for _ in range(200):
        queue.record_first_event(make_queued(), 5, 0)
    pending = make_queued(queued_at=0.1)
    assert not enqueue(queue, pending, fleet, 0.1, RNG).refused
    admitted = dispatch(queue, fleet, 0.1, RNG).admitted
    assert [one.pending for one in admitted] == [pending]


def test_delay_estimate_decays():
    queue = PrefillQueue()
    queue.record_first_event(make_queued(), 5, 0)
    delays = queue.overload.delays
    estimated_s = delays.estimate_bound('', 0)
    assert estimated_s > 1
    assert delays.estimate_bound('', 10) < estimated_s / 20
