"""Whose prompt is read next, who waits for it, and who is turned away.

An engine reads side by side all prompts that it has admitted. When more come
than the engines can read, every one of them ends late: at 2.2 times what fits
15% had their first event on time, though half of them could have. So only few
reads are open at an engine at a time, and the others wait here, ordered by
urgency and by what can still be on time.
"""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from returns.result import Failure, Success

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.placement._decisions import find_home
from verbenahall.placement._queue import (
    Admitted,
    Turn,
    TurnEffects,
    TurnQueue,
)
from verbenahall.placement._rooms import Fleet, Rooms

#: Callers are never told to come back sooner than this, in seconds.
_LEAST_RETRY_S: Final = 0.2
#: Share of a caller's time left that it is told to wait at most: it needs the
#: rest to be served.
_MOST_RETRY: Final = 1 / 3
#: Callers that were turned away together come back over this range of the
#: time that they are told, as shares of it.
_SPREAD: Final = (0.75, 1.25)


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
    # With nobody before it a request is tried, whatever the last ones met.
    start = queue.find_start(now) if queue.waiting else now
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
    if not fleet.generates:
        return _refuse_all(queue, fleet, now)
    start = queue.find_start(now)
    ranked = sorted(queue.waiting, key=lambda turn: turn.rank(start))
    admitted = tuple(_admit(ranked, fleet, now))
    for given in admitted:
        queue.remove(given.turn)
    gone = {one.turn for one in admitted}
    staying = [turn for turn in ranked if turn not in gone]
    hopeless = tuple(_find_hopeless(queue, staying, start))
    refused = [(one, _refuse(queue, one, now, source)) for one in hopeless]
    for turn in hopeless:
        queue.remove(turn)
    queue.meter(now, admitted)
    return TurnEffects(admitted, refused)


def _refuse_all(queue: TurnQueue, fleet: Fleet, now: float) -> TurnEffects:
    """Turn everybody away once no engine is left that generates.

    They would wait until their callers leave; told now, these come back to an
    instance that reaches other engines.
    """
    refused = tuple(
        (turn, fleet.place(turn, now).failure()) for turn in queue.waiting
    )
    queue.waiting.clear()
    queue.meter(now, ())
    return TurnEffects(refused=refused)


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
    rooms = Rooms(fleet)
    staying = [turn for turn in ranked if not turn.is_hopeless(now)]
    for turn in rooms.choose(staying):
        plan = fleet.place(turn, now).value_or(None)
        if plan is not None and rooms.has_room(turn, plan, now):
            yield Admitted(turn, plan, rooms.take(plan))


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
