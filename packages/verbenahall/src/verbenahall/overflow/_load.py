"""How near the engines of a group are to their limit, by its scheduler."""

import dataclasses
import statistics
from collections.abc import Sequence
from typing import Final, final

#: Time in which the smoothed wait halves without prompts, in seconds. Phases of
#: long and short prompts last 2.8 s.
_HALF_LIFE_S: Final = 0.3
#: Weight of the wait of one prompt, and of its objective.
_WAIT_WEIGHT: Final = 0.2
_OBJECTIVE_WEIGHT: Final = 0.05
#: Share of the objective that a prompt may wait at the limit; the rest is for
#: its own prefill.
_WAIT_SHARE: Final = 0.5
#: Pressure from which on a group takes no prompts of others. Without their
#: prefix they take several times the work: with 0.5, groups that took prompts
#: were over their own limit before the next refusal.
_MAX_TAKING_PRESSURE: Final = 0.15
#: How long a group counts as taking prompts of another one, in seconds.
_TAKING_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupStatus:
    """The load of a group, as its scheduler states it.

    ``pressure`` is the expected wait of a new prompt divided by half of the
    typical objective: 0 is idle, 1 the limit. ``taking`` names the groups of
    which it has accepted prompts in the last second.
    """

    pressure: float
    taking: tuple[str, ...] = ()


@final
class GroupLoad:
    """What a scheduler has measured in a group.

    ``wait_s`` is the smoothed time that prompts waited, at ``waited_at``, and
    ``objective_s`` their mean objective, 0 if it is not known. ``taken_at``
    holds when a prompt of each other group was last accepted.
    """

    __slots__ = ('objective_s', 'taken_at', 'wait_s', 'waited_at')

    def __init__(self) -> None:
        """Start idle."""
        self.objective_s: float = 0
        self.taken_at: dict[str, float] = {}
        self.wait_s: float = 0
        self.waited_at: float = 0


def record_objective(load: GroupLoad, objective_s: float) -> None:
    """Record the objective of a prompt."""
    weight = _OBJECTIVE_WEIGHT if load.objective_s else 1
    load.objective_s += weight * (objective_s - load.objective_s)


def record_wait(load: GroupLoad, wait_s: float, now: float) -> None:
    """Record how long an assigned prompt waits for others, in seconds."""
    smoothed_s = _decay(load, now)
    load.wait_s = smoothed_s + _WAIT_WEIGHT * (wait_s - smoothed_s)
    load.waited_at = now


def record_rejected(load: GroupLoad, now: float) -> None:
    """Record a prompt that cannot be served in time: the limit is reached."""
    record_wait(load, load.objective_s * _WAIT_SHARE, now)


def accepts_spill(
    load: GroupLoad, group: str, queue_waits_s: Sequence[float], now: float
) -> bool:
    """Whether a prompt of another group is accepted; records it if so."""
    if _estimate_pressure(load, queue_waits_s, now) >= _MAX_TAKING_PRESSURE:
        return False
    load.taken_at[group] = now
    return True


def describe_load(
    load: GroupLoad, queue_waits_s: Sequence[float], now: float
) -> GroupStatus:
    """Return the status to send; ``queue_waits_s`` are those of the queue."""
    for group, at in tuple(load.taken_at.items()):
        if now - at > _TAKING_S:
            load.taken_at.pop(group)
    pressure = _estimate_pressure(load, queue_waits_s, now)
    return GroupStatus(round(pressure, 2), tuple(load.taken_at))


def _estimate_pressure(
    load: GroupLoad, queue_waits_s: Sequence[float], now: float
) -> float:
    """Return the wait of a new prompt over half of the typical objective.

    A queue that stands still assigns no prompt, so the time that its prompts
    have waited counts, too; their median, as some may wait for long behind
    more urgent ones.
    """
    if not load.objective_s:
        return 0
    queue_s = statistics.median(queue_waits_s) if queue_waits_s else 0
    wait_s = max(_decay(load, now), queue_s)
    return wait_s / (load.objective_s * _WAIT_SHARE)


def _decay(load: GroupLoad, now: float) -> float:
    """Return the smoothed wait, which decays while nothing is recorded."""
    return load.wait_s * 0.5 ** ((now - load.waited_at) / _HALF_LIFE_S)
