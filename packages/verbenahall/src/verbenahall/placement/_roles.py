"""Which engines should read and which should generate.

An engine that generates serves a whole batch of streams with each step; one
that reads serves one prompt after the other, and its memory keeps the parts
that prompts share. So most engines read, and as many generate as the streams
need.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final

from verbenahall.fleet import Role
from verbenahall.roster import Entry

#: Share of the engines that generate as long as nothing is known of the
#: traffic, rounded up.
_GENERATING_SHARE: Final = 1 / 3
#: Engines that are changed at once, at most: a change takes an engine away for
#: seconds, and an order has a price.
_MOST_CHANGES: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """One engine and the role that it should have."""

    engine: Entry
    role: Role


def plan_roles(
    engines: Sequence[Entry],
    busy: Mapping[str, int],
    away: int = 0,
) -> tuple[RoleChange, ...]:
    """Return the changes that bring a service to its planned roles.

    ``busy`` is how many streams or reads are open at an engine; the least
    busy ones are changed, since a change waits for what runs. ``away`` is how
    many engines were lost lately without a word. They are mostly back about
    when a change would be done, and changing to and fro takes two engines
    away for seconds each; so meanwhile only a service that generates nothing
    at all is mended.
    """
    generators = [one for one in engines if one.role is Role.DECODE]
    readers = [one for one in engines if one.role is Role.PREFILL]
    if away:
        lack = 0 if generators else 1
        return _choose(readers, Role.DECODE, lack, busy)
    total = len(generators) + len(readers)
    wanted = math.ceil(total * _GENERATING_SHARE)
    spare = len(generators) - wanted
    if spare > 0:
        return _choose(generators, Role.PREFILL, spare, busy)
    return _choose(readers, Role.DECODE, -spare, busy)


def _choose(
    engines: Sequence[Entry],
    role: Role,
    count: int,
    busy: Mapping[str, int],
) -> tuple[RoleChange, ...]:
    ranked = sorted(
        engines,
        key=lambda one: (busy.get(one.name, 0), one.name),
    )
    chosen = ranked[: min(count, _MOST_CHANGES)]
    return tuple(RoleChange(engine, role) for engine in chosen)
