"""Whose prompt is prefilled next, who waits, and who is refused.

An engine prefills side by side all prompts that it has admitted. When more
come than the engines can prefill, every one of them ends late, though many of
them could be on time. So only few prefills are open at an engine at a time,
and the others wait here, ordered by urgency and by what can still be on time.
"""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from returns.result import Failure, Success

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.placement._decisions import find_preferred_engine
from verbenahall.placement._queue import (
    Admitted,
    PrefillQueue,
    QueuedRequest,
    QueueEffects,
)
from verbenahall.placement._slots import AdmissionSlots, Fleet

#: Callers are never told to come back sooner than this, in seconds.
_MIN_RETRY_S: Final = 0.2
#: Share of a caller's time left that it is told to wait at most: it needs the
#: rest to be served.
_MAX_RETRY_SHARE: Final = 1 / 3
#: Callers that were refused together come back over this range of the time
#: that they are told, as shares of it.
_RETRY_JITTER: Final = (0.75, 1.25)


def enqueue(
    queue: PrefillQueue,
    pending: QueuedRequest,
    fleet: Fleet,
    now: float,
    rng: random.Random,
) -> QueueEffects:
    """Let a request wait, or refuse it at once.

    What cannot be on time gets the prefills that those on time leave. When
    that would take longer than its caller stays, the caller hears so at once.
    """
    match fleet.place(pending, now):
        case Success(plan):
            pending.lead_s = plan.wait_s - plan.ahead_s
            pending.preferred_engine = find_preferred_engine(
                pending.wanted.work, fleet.prefill_engines
            )
        case Failure(problem):
            return QueueEffects(refused=((pending, problem),))
    # With nobody before it a request is tried, whatever the last ones met.
    start = queue.predict_start(now) if queue.waiting else now
    if pending.will_expire(start + _estimate_wait_s(queue, pending, start)):
        return QueueEffects(
            refused=((pending, _make_refusal(queue, pending, now, rng)),)
        )
    queue.waiting.append(pending)
    return QueueEffects()


def dispatch(
    queue: PrefillQueue,
    fleet: Fleet,
    now: float,
    rng: random.Random,
) -> QueueEffects:
    """Admit requests while engines have room, and refuse hopeless ones."""
    if not fleet.can_decode:
        return _refuse_all(queue, fleet, now)
    start = queue.predict_start(now)
    ranked = sorted(queue.waiting, key=lambda pending: pending.rank(start))
    admitted = tuple(_admit(ranked, fleet, now))
    for admission in admitted:
        queue.remove(admission.pending)
    started = {one.pending for one in admitted}
    remaining = [pending for pending in ranked if pending not in started]
    expiring = tuple(_find_expiring(queue, remaining, start))
    refused = [(one, _make_refusal(queue, one, now, rng)) for one in expiring]
    for pending in expiring:
        queue.remove(pending)
    queue.update_rates(now, admitted)
    return QueueEffects(admitted, refused)


def _refuse_all(queue: PrefillQueue, fleet: Fleet, now: float) -> QueueEffects:
    """Refuse everybody once no decode engine is left.

    They would wait until their callers leave; told now, these come back to an
    instance that reaches other engines.
    """
    refused = tuple(
        (pending, fleet.place(pending, now).failure())
        for pending in queue.waiting
    )
    queue.waiting.clear()
    queue.update_rates(now, ())
    return QueueEffects(refused=refused)


def _find_expiring(
    queue: PrefillQueue,
    ranked: Sequence[QueuedRequest],
    now: float,
) -> Iterator[QueuedRequest]:
    """Yield those whose callers will have left before they are admitted.

    ``now`` is when an engine would begin with one that goes now.
    """
    rate = queue.late_drain_rate.read(now)
    late = 0
    for pending in ranked:
        late += pending.is_late(now)
        wait_s = late / rate if rate and pending.is_late(now) else 0
        if pending.will_expire(now + wait_s):
            late -= 1
            yield pending


def _admit(
    ranked: Sequence[QueuedRequest],
    fleet: Fleet,
    now: float,
) -> Iterator[Admitted]:
    """Admit in order those whose preferred engine has room, then others."""
    slots = AdmissionSlots(fleet)
    remaining = [pending for pending in ranked if not pending.will_expire(now)]
    for pending in slots.list_candidates(remaining):
        plan = fleet.place(pending, now).value_or(None)
        if plan is not None and slots.has_room(pending, plan, now):
            yield Admitted(pending, plan, slots.reserve(plan))


def _estimate_wait_s(
    queue: PrefillQueue, pending: QueuedRequest, now: float
) -> float:
    """Return the wait of a request behind those that go before it."""
    late = pending.is_late(now)
    rate = (queue.late_drain_rate if late else queue.drain_rate).read(now)
    if not rate:
        return 0
    rank = pending.rank(now)
    ahead = sum(
        one.rank(now) < rank
        for one in queue.waiting
        if one.is_late(now) is late
    )
    return ahead / rate


def _make_refusal(
    queue: PrefillQueue,
    pending: QueuedRequest,
    now: float,
    rng: random.Random,
) -> Problem:
    """Tell a caller when the queue before it will have drained.

    Callers that were refused together come back spread out.
    """
    wait_s = _estimate_wait_s(queue, pending, now)
    max_s = (pending.leaves_at - now) * _MAX_RETRY_SHARE
    retry_s = max(_MIN_RETRY_S, min(wait_s, max_s))
    return Problem(
        ErrorKind.OVERLOADED,
        f'{len(queue.waiting)} wait to be read, it would take {wait_s:.1f} s',
        Ran.NO,
        retry_after_s=retry_s * rng.uniform(*_RETRY_JITTER),
    )
