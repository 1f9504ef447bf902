"""Which engines should read and which should generate.

An engine that generates serves a whole batch of streams with each step; one
that reads serves one prompt after the other, and its memory keeps the parts
that prompts share. So most engines read, and as many generate as the streams
need.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final

from verbenahall.fleet import Role
from verbenahall.roster import Entry

#: Share of the engines that generate as long as nothing is known of the
#: traffic, rounded up.
_GENERATING_SHARE: Final = 1 / 3
#: Engines that are changed at once, at most, as a number and as a share of
#: all: a change takes an engine away for seconds. With the number alone, the
#: roles of a large fleet would be settled only long after its start.
_MOST_CHANGES: Final = 4
_MOST_CHANGED_SHARE: Final = 1 / 6


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
    most = max(_MOST_CHANGES, int(total * _MOST_CHANGED_SHARE))
    wanted = math.ceil(total * _GENERATING_SHARE)
    spare = len(generators) - wanted
    if spare > 0:
        return _choose(generators, Role.PREFILL, min(spare, most), busy)
    return _choose(readers, Role.DECODE, min(-spare, most), busy)


def _choose(
    engines: Sequence[Entry],
    role: Role,
    count: int,
    busy: Mapping[str, int],
) -> tuple[RoleChange, ...]:
    """Change the least busy engines, first where a role has most of them.

    A data centre whose engines all have one role sends all prompts, or all
    KV cache, to the others.
    """
    ranked = sorted(
        engines,
        key=lambda one: (busy.get(one.name, 0), one.name),
    )
    chosen: list[Entry] = []
    while ranked and len(chosen) < count:
        left = collections.Counter(one.data_centre for one in ranked)
        most = max(left.values())
        engine = next(one for one in ranked if left[one.data_centre] == most)
        ranked.remove(engine)
        chosen.append(engine)
    return tuple(RoleChange(engine, role) for engine in chosen)
