"""Whose prompt is read next, who waits for it, and who is turned away.

An engine reads side by side all prompts that it has admitted. When more come
than the engines can read, every one of them ends late: with twice the prompts
that fit, 24% of those of a burst had their first event on time, though half
of them could have. So only few reads are open at an engine at a time, and the
others wait here, ordered by urgency and by what can still be on time.
"""

import dataclasses
import random
from collections.abc import Iterator, Sequence
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.admission import RateMeter
from verbenahall.catalog import EngineTraits
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.fleet import Role
from verbenahall.placement._decisions import Wish, find_home, place
from verbenahall.placement._ledger import Flight, Totals
from verbenahall.placement._messages import Plan
from verbenahall.placement._state import PlacementState
from verbenahall.roster import Entry

#: Work that keeps an engine busy until the next read reaches it, in seconds,
#: beside the start of a read: a round trip and a turn of this process.
_DEPTH_S: Final = 0.02
#: Share of the objective that an instance without an open read at an engine
#: lets it have as backlog. Others' reads are known as they were 0.1 s ago; one
#: read each keeps a busy engine fed, and nobody is starved by the others.
_SHARED_DEPTH: Final = 0.5
#: Weight of one first event in what is expected of the next ones.
_LEARNING: Final = 0.1
#: Share of that for a request that is late anyway, so that those on time that
#: come next do not wait for it.
_LATE_DEPTH: Final = 0.5
#: Waiting requests that are placed though their home has no room, at one
#: look: placing costs some 0.1 ms, and at a burst there are 300 looks a second.
_SPILLED: Final = 2
#: Callers are never told to come back sooner than this, in seconds.
_LEAST_RETRY_S: Final = 0.2
#: Share of a caller's time left that it is told to wait at most: it needs the
#: rest to be served.
_MOST_RETRY: Final = 1 / 3
#: Callers that were turned away together come back over this range of the
#: time that they are told, as shares of it.
_SPREAD: Final = (0.75, 1.25)
_NONE_TRIED: Final[frozenset[str]] = frozenset()


_Rank = tuple[int, bool, bool, float]


@final
@dataclasses.dataclass(slots=True, eq=False)
class Turn:
    """A request that waits to be read; times are monotonic seconds.

    It waits ``since`` then; ``due_at`` is when its first event would be late
    and ``leaves_at`` when its caller leaves. ``returning`` callers were turned
    away before, and the engines named in ``tried`` have failed this request.
    ``lead_s`` is the expected time to its first event on idle engines, and
    ``home`` the engine that is thought to keep its shared parts.
    """

    request: str
    wish: Wish
    priority: int
    since: float
    due_at: float
    leaves_at: float
    returning: bool = False
    tried: frozenset[str] = _NONE_TRIED
    lead_s: float = 0
    home: str = ''

    def is_late(self, now: float) -> bool:
        """Whether its first event cannot be on time any more."""
        return now + self.lead_s > self.due_at

    def is_hopeless(self, now: float) -> bool:
        """Whether the caller will have left before the first event."""
        return now + self.lead_s > self.leaves_at

    def rank(self, now: float) -> _Rank:
        """Return the place in the order; the lowest is next."""
        late = self.is_late(now)
        return (self.priority, late, not self.returning, self.due_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request whose turn it is, its plan, and its work in the ledger."""

    turn: Turn
    plan: Plan
    flight: Flight


@dataclasses.dataclass(frozen=True, slots=True)
class TurnEffects:
    """Who has the turn, and who is turned away."""

    admitted: Sequence[Admitted] = ()
    refused: Sequence[tuple[Turn, Problem]] = ()


@final
class Excess:
    """A time that most of the last ones did not exceed, in seconds.

    As TCP does for its timeouts: a smoothed mean, and a mean deviation on top.
    """

    __slots__ = ('_mean_s', '_deviation_s')

    def __init__(self) -> None:
        """Start from nothing."""
        self._mean_s: float = 0
        self._deviation_s: float = 0

    def note(self, seconds: float) -> None:
        """Learn from one."""
        error_s = seconds - self._mean_s
        self._mean_s += _LEARNING * error_s
        self._deviation_s += _LEARNING * (abs(error_s) - self._deviation_s)

    def read(self) -> float:
        """Return the bound."""
        return self._mean_s + self._deviation_s


@final
class TurnQueue:
    """The waiting requests of a service, and how fast they drain.

    ``drained`` counts the turns given, ``late`` those of requests that were
    late already: what those on time leave. ``excess`` is how much longer than
    expected first events take once they have their turn.
    """

    __slots__ = ('waiting', 'drained', 'late', 'excess')

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[Turn] = []
        self.drained = RateMeter()
        self.late = RateMeter()
        self.excess = Excess()

    def find_start(self, now: float) -> float:
        """Return when an engine would begin with a request that goes now.

        Without what the last ones have met there, requests had their turn
        when they were just on time, and all of them ended just late.
        """
        return now + self.excess.read()

    def note_first(self, turn: Turn, took_s: float) -> None:
        """Learn from the first event of a request that has had its turn."""
        self.excess.note(max(0, took_s - turn.lead_s))

    def remove(self, turn: Turn) -> bool:
        """Take a request out; False when it waits no more."""
        if turn not in self.waiting:
            return False
        self.waiting.remove(turn)
        return True

    def meter(self, now: float, given: Sequence[Admitted]) -> None:
        """Count the turns given; an empty queue drains as slow as it fills."""
        for meter in (self.drained, self.late):
            if self.waiting:
                meter.resume(now)
            else:
                meter.pause()
        for admitted in given:
            self.drained.count(now)
            if admitted.turn.is_late(now):
                self.late.count(now)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The engines of a service that may get work, and who waits for them."""

    state: PlacementState
    engines: Sequence[Entry]
    traits: EngineTraits
    waiting: int = 0

    @property
    def readers(self) -> Sequence[Entry]:
        """The engines that only read, or all if there is none."""
        readers = [one for one in self.engines if one.role is Role.PREFILL]
        return readers or self.engines

    def place(self, turn: Turn, now: float) -> Result[Plan, Problem]:
        """Choose engines for a request, other than those that failed it."""
        usable = [one for one in self.engines if one.name not in turn.tried]
        engines = usable or self.engines
        wish = dataclasses.replace(turn.wish, waiting=self.waiting)
        return place(self.state, wish, engines, self.traits, now)


def join(
    queue: TurnQueue,
    turn: Turn,
    fleet: Fleet,
    now: float,
    source: random.Random,
) -> TurnEffects:
    """Let a request wait, or turn it away at once.

    What cannot be on time waits for the reads that those on time leave. When
    that would take longer than its caller stays, the caller hears so at once.
    """
    match fleet.place(turn, now):
        case Success(plan):
            turn.lead_s = plan.wait_s - plan.ahead_s
            turn.home = find_home(turn.wish.work, fleet.readers)
        case Failure(problem):
            return TurnEffects(refused=((turn, problem),))
    start = queue.find_start(now)
    if turn.is_hopeless(start + _wait_s(queue, turn, start)):
        return TurnEffects(refused=((turn, _refuse(queue, turn, now, source)),))
    queue.waiting.append(turn)
    return TurnEffects()


def take_turns(
    queue: TurnQueue,
    fleet: Fleet,
    now: float,
    source: random.Random,
) -> TurnEffects:
    """Give turns while engines have room, and end waits that are in vain."""
    start = queue.find_start(now)
    ranked = sorted(queue.waiting, key=lambda turn: turn.rank(start))
    hopeless = tuple(_find_hopeless(queue, ranked, start))
    refused = [(one, _refuse(queue, one, now, source)) for one in hopeless]
    staying = [one for one in ranked if one not in hopeless]
    admitted = tuple(_admit(staying, fleet, now))
    for turn in (*hopeless, *(one.turn for one in admitted)):
        queue.remove(turn)
    queue.meter(now, admitted)
    return TurnEffects(admitted, refused)


def _find_hopeless(
    queue: TurnQueue,
    ranked: Sequence[Turn],
    now: float,
) -> Iterator[Turn]:
    """Yield those whose callers will have left before their turn.

    ``now`` is when an engine would begin with one that goes now.
    """
    rate = queue.late.read(now)
    late = 0
    for turn in ranked:
        late += turn.is_late(now)
        wait_s = late / rate if rate and turn.is_late(now) else 0
        if turn.is_hopeless(now + wait_s):
            late -= 1
            yield turn


def _admit(
    ranked: Sequence[Turn],
    fleet: Fleet,
    now: float,
) -> Iterator[Admitted]:
    """Give turns in order to those whose home has room, then to others."""
    rooms = _Rooms(fleet)
    for turn in rooms.choose(ranked):
        plan = fleet.place(turn, now).value_or(None)
        if plan is not None and rooms.has_room(turn, plan, now):
            yield Admitted(turn, plan, rooms.take(plan))


@final
class _Rooms:
    """The engines that have room for one more read; ``known`` are all."""

    __slots__ = ('known', 'open', '_state', '_depth_s', '_share_s')

    def __init__(self, fleet: Fleet) -> None:
        self._state = fleet.state
        self._depth_s = fleet.state.read_speed.start_s + _DEPTH_S
        self._share_s = self._depth_s / (fleet.state.ledger.readers + 1)
        self.known = frozenset(one.name for one in fleet.engines)
        self.open = {name for name in self.known if self._is_open(name)}

    def choose(self, ranked: Sequence[Turn]) -> Iterator[Turn]:
        """Yield who may find room, in order, while there is any."""
        spilled = 0
        for turn in ranked:
            if not self.open:
                return
            if turn.home in self.known - self.open:
                spilled += 1
                if spilled > _SPILLED:
                    continue
            yield turn

    def has_room(self, turn: Turn, plan: Plan, now: float) -> bool:
        """Whether the plan's engine still has a short backlog with it."""
        name = _reader(plan)
        if not self._is_open(name):
            return False
        most_s = turn.wish.objective_s * _SHARED_DEPTH
        if turn.is_late(now):
            most_s *= _LATE_DEPTH
        return plan.ahead_s < max(most_s, self._depth_s)

    def take(self, plan: Plan) -> Flight:
        """Count the plan's read."""
        name = _reader(plan)
        flight = self._state.ledger.open(name, Totals(reading=plan.missing))
        if not self._is_open(name):
            self.open.discard(name)
        return flight

    def _is_open(self, name: str) -> bool:
        """Whether this instance may have one more read at an engine.

        One, and more only as its share of what all may have: peers' words are
        0.1 s old, and with a common bound all instances saw the same engine
        idle and sent it 18 prompts at once.
        """
        own = self._state.ledger.own_of(name).reading
        return own * self._state.read_speed.token_s < self._share_s


def _reader(plan: Plan) -> str:
    """Return the engine that reads the prompt."""
    return (plan.reader or plan.generator).name


def _wait_s(queue: TurnQueue, turn: Turn, now: float) -> float:
    """Return the wait of a request behind those that go before it."""
    late = turn.is_late(now)
    rate = (queue.late if late else queue.drained).read(now)
    if not rate:
        return 0
    rank = turn.rank(now)
    ahead = sum(
        one.rank(now) < rank
        for one in queue.waiting
        if one.is_late(now) is late
    )
    return ahead / rate


def _refuse(
    queue: TurnQueue,
    turn: Turn,
    now: float,
    source: random.Random,
) -> Problem:
    """Tell a caller when the queue before it will have drained.

    Callers that were turned away together come back spread out.
    """
    wait_s = _wait_s(queue, turn, now)
    most_s = (turn.leaves_at - now) * _MOST_RETRY
    retry_s = max(_LEAST_RETRY_S, min(wait_s, most_s))
    return Problem(
        ErrorKind.OVERLOADED,
        f'{len(queue.waiting)} wait to be read, it would take {wait_s:.1f} s',
        Ran.NO,
        retry_after_s=retry_s * source.uniform(*_SPREAD),
    )
