"""Which group of engines an instance requests for a prompt first."""

import dataclasses
from collections.abc import Sequence
from typing import Final, final

from verbenahall.overflow._load import GroupStatus

#: Pressure of a group over which it offloads prompts.
_OFFLOAD_PRESSURE: Final = 0.8
#: Least difference to the pressure of the group that takes them. With a smaller
#: one, two groups would pass prompts on in turns.
_MIN_DIFFERENCE: Final = 0.3
#: Age from which on a pressure is ignored, in seconds.
_MAX_AGE_S: Final = 1.0
#: Share of the objective to which a pressure of 1 corresponds.
_WAIT_SHARE: Final = 0.5


#: A service, and a group of its engines.
_Scope = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Stated:
    """A status, and when a scheduler has stated it."""

    status: GroupStatus
    at: float


@final
class StatusTable:
    """The last status of each group of each service, and when it was stated."""

    __slots__ = ('_statuses',)

    def __init__(self) -> None:
        """Start without statuses."""
        self._statuses: dict[_Scope, _Stated] = {}

    def record(
        self, service: str, group: str, status: GroupStatus | None, now: float
    ) -> None:
        """Record a scheduler's statement; older versions make none."""
        if status is not None:
            self._statuses[service, group] = _Stated(status, now)

    def find(self, service: str, group: str, now: float) -> GroupStatus | None:
        """Return the status of a group, None if it is unknown or too old."""
        stated = self._statuses.get((service, group))
        if stated is None or now - stated.at > _MAX_AGE_S:
            return None
        return stated.status


@dataclasses.dataclass(frozen=True, slots=True)
class GroupOrder:
    """The groups in the order in which they are asked.

    ``spilled`` is the group by prefix that the prompt is sent past to the first
    one, empty if it is not.
    """

    groups: Sequence[str]
    spilled: str = ''

    def find_spilled(self, group: str) -> str:
        """Return the group that a request to another one is sent past."""
        return self.spilled if group == self.groups[0] else ''


def order_groups(
    statuses: StatusTable,
    service: str,
    groups: Sequence[str],
    prefix_share: float,
    now: float,
) -> GroupOrder:
    """Return the order of the groups for a prompt.

    ``groups`` are those by prefix, the one that has it cached first.
    ``prefix_share`` is the time to prefill the shared parts again as a share of
    the objective.
    """
    if len(groups) < 2:
        return GroupOrder(groups)
    first, second, *others = groups
    own = statuses.find(service, first, now)
    other = statuses.find(service, second, now)
    if own is None or other is None or own.pressure <= _OFFLOAD_PRESSURE:
        return GroupOrder(groups)
    pressure_there = other.pressure + prefix_share / _WAIT_SHARE
    if second in own.taking or own.pressure - pressure_there < _MIN_DIFFERENCE:
        return GroupOrder(groups)
    return GroupOrder((second, first, *others), first)
