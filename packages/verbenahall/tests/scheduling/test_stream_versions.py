"""Streams that go on at a scarce software version, beside new ones."""

import dataclasses
import random

import pytest
from verbenahall import scheduling
from verbenahall.catalog import Service
from verbenahall.fleet import Role
from verbenahall.placement import Fleet, Part, PlacementState, Work
from verbenahall_standins.replay import TRAITS, make_entry

#: Two engines of each role serve at the version that is scarce.
SCARCE = 'v1'
STEP_S = 0.02
SECONDS = 20
PREFILL_S = 0.1
STREAM_S = 1.5
SERVICE = Service('reader', dataclasses.replace(TRAITS, slots=6))


def make_engines():
    """Return prefill engines, and decode engines of two versions."""
    return [
        *(make_entry(f'p{number}', Role.PREFILL) for number in range(4)),
        *(
            dataclasses.replace(
                make_entry(f'd{number}', Role.DECODE),
                version=SCARCE if number < 2 else 'v2',
            )
            for number in range(6)
        ),
    ]


def make_request(key, version, subject):
    work = Work((Part(subject, 6_000), Part(key, 3_000)), 9_000, 30)
    return scheduling.ScheduleRequest(
        key=key,
        service='reader',
        group='a/0',
        work=work,
        gap_s=0.2,
        priority=1,
        due_s=0.5,
        objective_s=0.5,
        leaves_s=2,
        deadline_s=3,
        returning=version is not None,
        version=version,
    )


class Simulation:
    """One scheduler; ``assigned`` and ``asked`` count by version."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = scheduling.SchedulerState(PlacementState(), started_at=0)
        self.engines = make_engines()
        self.asked = {None: 0, SCARCE: 0}
        self.assigned = {None: 0, SCARCE: 0}
        self.wrong = 0
        self.versions = {}
        self.ends = []

    @property
    def fleet(self):
        waiting = len(self.state.queue.waiting)
        return Fleet(
            self.state.placement, self.engines, SERVICE.engine, waiting
        )

    def submit(self, key, version, now):
        self.versions[key] = version
        self.asked[version] += 1
        subject = f's{self.rng.randrange(8)}'
        replies = scheduling.receive_request(
            self.state,
            make_request(key, version, subject),
            '10.0.0.1:7380',
            self.fleet,
            now,
            self.rng,
        )
        self.handle(replies, now)

    def handle(self, replies, now):
        by_name = {one.name: one for one in self.engines}
        for reply in replies:
            message = reply.message
            if isinstance(message, scheduling.Assignment):
                version = self.versions[message.key]
                self.assigned[version] += 1
                decode = by_name[message.decode]
                self.wrong += version not in {None, decode.version}
                prefilled = scheduling.Prefilled(message.key, PREFILL_S)
                self.ends.append((now + PREFILL_S, prefilled))
                released = scheduling.Released(message.key, 0.004)
                self.ends.append((now + STREAM_S, released))

    def step(self, now):
        due = [message for at, message in self.ends if at <= now]
        self.ends = [one for one in self.ends if one[0] > now]
        for message in due:
            scheduling.record_progress(self.state, message, SERVICE, now)
        replies = scheduling.assign_waiting(
            self.state, self.fleet, now, self.rng
        )
        self.handle(replies, now)

    def share(self, version):
        """Return the share of the requests that are assigned."""
        return self.assigned[version] / self.asked[version]


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('rate', (25, 90))
def test_streams_go_on_at_a_scarce_version_as_often_as_new_ones_begin(
    seed, rate
):
    # New streams fill all engines. Those that are taken up may use two only.
    simulation = Simulation(seed)
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        if simulation.rng.random() < rate * STEP_S:
            simulation.submit(f'new-{step}', None, now)
        if simulation.rng.random() < 2 * STEP_S:
            simulation.submit(f'old-{step}', SCARCE, now)
        simulation.step(now)
    assert not simulation.wrong
    assert simulation.asked[SCARCE] >= 12
    # The users' rule is broken below half of the share of new streams.
    assert simulation.share(SCARCE) >= simulation.share(None) / 2


def test_request_for_a_version_that_is_gone_is_rejected_at_once():
    # The scheduler knows no engine of it; in the queue the caller would wait
    # in vain.
    simulation = Simulation(1)
    replies = scheduling.receive_request(
        simulation.state,
        make_request('k', 'v0', 's'),
        '10.0.0.1:7380',
        simulation.fleet,
        0,
        simulation.rng,
    )
    assert [type(one.message) for one in replies] == [scheduling.Rejection]


@pytest.mark.parametrize('version', (None, 'v1', ''))
def test_version_of_a_request_survives_its_encoding(version):
    request = make_request('k', version, 's')
    assert scheduling.decode(scheduling.encode(request)).unwrap() == request
