"""Decides when to check the way to a service, and what a check means."""

import enum
import random
from collections.abc import Sequence
from typing import Final, final

from verbenahall.reach._state import ServiceReach
from verbenahall.roster import Entry

#: Open sends of which none got a response for this long are a sign of trouble,
#: in seconds. Under load some endpoint responds every few milliseconds.
_SILENCE_S: Final = 0.5
#: Least interval between two checks of a service that is reached, in seconds:
#: every new connection costs the endpoint some work.
_INTERVAL_S: Final = 0.5
#: Interval between two checks of a service that is not reached, in seconds.
_LOST_INTERVAL_S: Final = 0.4
#: Pause before a first success is confirmed by another check, in seconds.
_CONFIRM_S: Final = 0.1
#: Checks in a row that have to reach an endpoint until the service counts as
#: reachable again: a link may come and go.
_CONFIRMATIONS: Final = 2


@final
class CheckResult(enum.Enum):
    """How a check has changed what is known of a service."""

    UNCHANGED = 'unchanged'
    LOST = 'lost'
    REGAINED = 'regained'


def record_sent(reach: ServiceReach, now: float) -> None:
    """Record that a send begins."""
    if not reach.open_sends:
        reach.silent_since = now
    reach.open_sends += 1


def record_response(reach: ServiceReach, now: float) -> None:
    """Record bytes of any endpoint of the service."""
    reach.silent_since = now


def record_ended(reach: ServiceReach) -> None:
    """Record that a send has ended."""
    reach.open_sends = max(0, reach.open_sends - 1)


def record_trouble(reach: ServiceReach) -> None:
    """Record a connection that did not open, or that was lost."""
    reach.in_doubt = True


def is_check_due(reach: ServiceReach, now: float) -> bool:
    """Whether the way to a service is to be checked now."""
    since_s = now - reach.checked_at
    if reach.lost_at is not None:
        pause_s = _CONFIRM_S if reach.reached else _LOST_INTERVAL_S
        return since_s >= pause_s
    is_silent = reach.open_sends and now - reach.silent_since >= _SILENCE_S
    return since_s >= _INTERVAL_S and bool(reach.in_doubt or is_silent)


def apply_check(
    reach: ServiceReach, now: float, *, reached: bool
) -> CheckResult:
    """Record a check that ended at ``now``.

    ``reached`` is whether an endpoint has accepted a connection.
    """
    reach.checked_at = now
    reach.in_doubt = False
    reach.reached = reach.reached + 1 if reached else 0
    if reach.lost_at is None:
        reach.lost_at = None if reached else now
        return CheckResult.UNCHANGED if reached else CheckResult.LOST
    if reach.reached < _CONFIRMATIONS:
        return CheckResult.UNCHANGED
    reach.lost_at = None
    reach.silent_since = now
    return CheckResult.REGAINED


def choose_sample(
    entries: Sequence[Entry],
    count: int,
    data_centre: str,
    rng: random.Random,
) -> list[Entry]:
    """Choose endpoints for a check, half of them local where possible.

    Where the data centres are partitioned from each other, a random sample of
    a large service could miss the local endpoints, which are reached.
    """
    local: list[Entry] = []
    remote: list[Entry] = []
    for one in entries:
        (local if one.data_centre == data_centre else remote).append(one)
    for part in (local, remote):
        rng.shuffle(part)
    local_count = max(count - count // 2, count - len(remote))
    chosen = local[:local_count]
    return chosen + remote[: count - len(chosen)]
