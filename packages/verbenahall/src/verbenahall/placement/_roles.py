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
_DECODE_SHARE: Final = 1 / 3
#: Engines that are changed at once, at most, as a number and as a share of
#: all: a change takes an engine recently_lost for seconds. With the number alone, the
#: roles of a large fleet would be settled only long after its start.
_MAX_CHANGES: Final = 4
_MAX_CHANGED_SHARE: Final = 1 / 6


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """One engine and the role that it should have."""

    engine: Entry
    role: Role


def plan_roles(
    engines: Sequence[Entry],
    busy: Mapping[str, int],
    recently_lost: int = 0,
) -> tuple[RoleChange, ...]:
    """Return the changes that bring a service to its planned roles.

    ``busy`` is how many streams or reads are open at an engine; the least
    busy ones are changed, since a change waits for what runs. ``recently_lost`` is how
    many engines were lost lately without a word. They are mostly back about
    when a change would be done, and changing to and fro takes two engines
    recently_lost for seconds each; so meanwhile only a service that generates nothing
    at all is mended.
    """
    decode_engines = [one for one in engines if one.role is Role.DECODE]
    prefill_engines = [one for one in engines if one.role is Role.PREFILL]
    if recently_lost:
        missing = 0 if decode_engines else 1
        return _choose_engines(prefill_engines, Role.DECODE, missing, busy)
    total = len(decode_engines) + len(prefill_engines)
    max_changes = max(_MAX_CHANGES, int(total * _MAX_CHANGED_SHARE))
    target = math.ceil(total * _DECODE_SHARE)
    surplus = len(decode_engines) - target
    if surplus > 0:
        return _choose_engines(
            decode_engines, Role.PREFILL, min(surplus, max_changes), busy
        )
    return _choose_engines(
        prefill_engines, Role.DECODE, min(-surplus, max_changes), busy
    )


def _choose_engines(
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
        counts = collections.Counter(one.data_centre for one in ranked)
        largest = max(counts.values())
        engine = next(
            one for one in ranked if counts[one.data_centre] == largest
        )
        ranked.remove(engine)
        chosen.append(engine)
    return tuple(RoleChange(engine, role) for engine in chosen)
