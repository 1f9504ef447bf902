"""Compares membership with a naive recomputation from all observations."""

from hypothesis import example, given
from hypothesis import strategies as st

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
)

NAMES = ('a', 'b', 'c', 'd')
INCARNATIONS = ('1', '2')

name = st.sampled_from(NAMES)
listed = st.tuples(name, st.sampled_from(INCARNATIONS), st.booleans())
event = st.one_of(
    st.tuples(st.just('list'), st.lists(listed, unique_by=lambda row: row[0])),
    st.tuples(st.sampled_from(('answer', 'failure', 'leaving')), name),
    # Mostly failures and answers of one endpoint, so that it flaps.
    st.tuples(st.sampled_from(('failure', 'failure', 'answer')), st.just('a')),
    st.tuples(st.sampled_from(('failure', 'failure', 'answer')), st.just('a')),
    st.tuples(
        st.sampled_from(('stays', 'leaves')),
        name,
        st.sampled_from(INCARNATIONS),
    ),
)
history = st.lists(
    st.tuples(st.floats(0.1, 3).map(lambda gap: round(gap, 2)), event),
    max_size=40,
)


def make_entry(row):
    own_name, incarnation, leaving = row
    address = f'127.0.0.1:{ord(own_name)}'
    return ListEntry(
        Endpoint(own_name, EndpointKind.ENGINE, address, 'ain', incarnation),
        leaving,
    )


def apply(state, what, now):
    match what:
        case ('list', rows):
            apply_list(state, map(make_entry, rows), now)
        case ('answer', one):
            observe_answer(state, one, now)
        case ('failure', one):
            observe_failure(state, one, now)
        case ('leaving', one):
            observe_leaving(state, one, now)
        case (reported, one, incarnation):
            observe_state(
                state, one, incarnation, leaving=reported == 'leaves', now=now
            )


def find_incarnation(events, one):
    """Replay which incarnation has a name; a replaced one never returns."""
    seen = [
        (index, incarnation)
        for index, (_, what) in enumerate(events)
        for incarnation in list_incarnations(what, one)
    ]
    first_seen = {}
    for index, incarnation in seen:
        first_seen.setdefault(incarnation, index)
    return max(first_seen.items(), key=lambda pair: pair[1], default=(None, 0))


def list_incarnations(what, one):
    match what:
        case ('list', rows):
            return [row[1] for row in rows if row[0] == one]
        case ('stays' | 'leaves', subject, incarnation) if subject == one:
            return [incarnation]
    return []


def find_marks(events, one, incarnation):
    """Return whether the list and the last report each show it leaving.

    A list that still shows another incarnation after 30 s uses its own ones.
    """
    shown, reported = [False], [False]
    born_at = events[0][0]
    for at, what in events:
        match what:
            case ('list', rows):
                own = at - born_at >= 30 or (one, incarnation)
                shown += [
                    row[2]
                    for row in rows
                    if row[0] == one and own in {True, row[:2]}
                ]
            case ('leaving', subject) if subject == one:
                reported.append(True)
            case (kind, *about) if about == [one, incarnation]:
                reported.append(kind == 'leaves')
    return shown[-1], reported[-1]


class Reach:
    """Reachability of a process; each flap requires one more answer."""

    def __init__(self):
        self.failures = []
        self.answers = 0
        self.flaps = 0
        self.recovered_at = -100
        self.unresponsive = False

    def fail(self, at):
        self.failures.append(at)
        self.answers = 0
        span = at - self.failures[0]
        if not self.unresponsive and (len(self.failures) >= 3 or span >= 2):
            recent = at - self.recovered_at < 30
            self.flaps = min(self.flaps + 1, 4) if recent else 0
            self.unresponsive = True

    def answer(self, at):
        self.answers += bool(self.failures)
        if self.unresponsive and self.answers <= self.flaps:
            return
        if self.unresponsive:
            self.recovered_at = at
        self.failures = []
        self.unresponsive = False


def compute_status(events, one):
    """Compute the status of a name from all events."""
    incarnation, since = find_incarnation(events, one)
    if incarnation is None:
        return EndpointStatus.SILENT
    if any(find_marks(events[since:], one, incarnation)):
        return EndpointStatus.LEAVING
    reach = Reach()
    for at, what in events[since:]:
        if what == ('failure', one):
            reach.fail(at)
        elif what == ('answer', one):
            reach.answer(at)
    return EndpointStatus.SILENT if reach.unresponsive else EndpointStatus.LIVE


def fill(rows):
    """Add missing names to a list, so that none is ever removed."""
    shown = {row[0] for row in rows}
    return [*rows, *((one, '1', False) for one in NAMES if one not in shown)]


@given(history)
@example(
    # An unresponsive endpoint is listed as leaving and then not, and answers.
    [
        (1, ('list', [])),
        (1, ('failure', 'a')),
        (2, ('failure', 'a')),
        (1, ('list', [('a', '1', True)])),
        (1, ('list', [])),
        (1, ('answer', 'a')),
    ],
)
def test_same_standing_as_the_naive_fold(steps):
    """The status must match the naive one for observations in any order."""
    state = MembershipState(notify=lambda change: None)
    events = []
    now = 0
    for gap, what in steps:
        now += gap
        if what[0] == 'list':
            what = ('list', fill(what[1]))
        if what[0] != 'list' and not state.members:
            continue
        apply(state, what, now)
        events.append((now, what))
        statuses = {one: compute_status(events, one) for one in NAMES}
        assert {one: get_status(state, one, now) for one in NAMES} == statuses
        assert [
            one.name for one in list_live(state, EndpointKind.ENGINE, now)
        ] == [one for one in NAMES if statuses[one] is EndpointStatus.LIVE]


@given(history)
def test_lists_alone_never_empty_the_fleet(steps):
    """The list shows any subsets, in any order, while all engines answer.

    Without leaving marks at most a third may be removed in a minute.
    """
    state = MembershipState(notify=lambda change: None)
    apply_list(state, map(make_entry, fill([])), 0)
    now = 0
    for gap, what in steps:
        if what[0] != 'list':
            continue
        now = min(now + gap, 50)
        rows = [(row[0], '1', False) for row in what[1]]
        apply_list(state, map(make_entry, rows), now)
        assert len(list_live(state, EndpointKind.ENGINE, now)) >= 3


def test_silent_endpoint_stays_silent_until_it_answers():
    """The list loses all endpoints, one of them fails, the list is restored.

    The restored list doesn't show that the failed endpoint works. If it got
    requests before it has answered, they would fail again.
    """
    state = MembershipState(notify=lambda change: None)
    entries = [make_entry(row) for row in fill([])]
    apply_list(state, entries, 0)
    apply_list(state, [], 1)
    observe_failure(state, 'a', 2)
    assert get_status(state, 'a', 2) is EndpointStatus.SILENT

    apply_list(state, entries, 3)
    assert get_status(state, 'a', 3) is EndpointStatus.SILENT

    observe_answer(state, 'a', 4)
    assert get_status(state, 'a', 4) is EndpointStatus.LIVE
