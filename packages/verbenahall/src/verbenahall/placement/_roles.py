"""Decides which engines of a service prefill and which decode.

A decode engine serves a whole batch of streams with each step. A prefill
engine serves one prompt after the other, and its memory holds the prefix
cache. So most engines prefill, and as many decode as the streams need.
"""

import collections
import dataclasses
import functools
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from verbenahall.fleet import Role
from verbenahall.roster import Entry

#: Share of the engines that decode, rounded up, while demand is unknown.
_DECODE_SHARE: Final = 1 / 3
#: Maximum number of engines that are changed at once, and the same as a share
#: of all engines; the greater of both applies. A change takes an engine out of
#: service for seconds. With a fixed number alone, a large fleet would take long
#: to reach its roles after a start.
_MAX_CHANGES: Final = 4
_MAX_CHANGED_SHARE: Final = 1 / 6


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """An engine and the role that it is to change to."""

    engine: Entry
    role: Role


def plan_roles(
    engines: Sequence[Entry],
    busy: Mapping[str, int],
    recently_lost: int = 0,
) -> tuple[RoleChange, ...]:
    """Return the changes that give a service its planned roles.

    ``busy`` is the number of streams or prefills open at an engine. The least
    busy engines are changed, because a change waits for open work to end.
    ``recently_lost`` is the number of engines that were lost without notice.
    Most of them are back by the time a change would be done, and changing
    roles back and forth takes two engines out of service for seconds each. So
    with lost engines a change is made only if no decode engine is left.
    """
    decode_engines = [one for one in engines if one.role is Role.DECODE]
    prefill_engines = [one for one in engines if one.role is Role.PREFILL]
    if recently_lost:
        missing = 0 if decode_engines else 1
        return _choose_engines(prefill_engines, Role.DECODE, missing, busy, ())
    total = len(decode_engines) + len(prefill_engines)
    max_changes = max(_MAX_CHANGES, int(total * _MAX_CHANGED_SHARE))
    target = math.ceil(total * _DECODE_SHARE)
    surplus = len(decode_engines) - target
    versions = [one.version for one in decode_engines]
    if surplus > 0:
        count = min(surplus, max_changes)
        return _choose_engines(
            decode_engines, Role.PREFILL, count, busy, versions
        )
    count = min(-surplus, max_changes)
    return _choose_engines(prefill_engines, Role.DECODE, count, busy, versions)


def _choose_engines(
    engines: Sequence[Entry],
    role: Role,
    count: int,
    busy: Mapping[str, int],
    decoding_versions: Iterable[str],
) -> tuple[RoleChange, ...]:
    """Choose engines from the data centres that have most of ``engines``.

    Within a data centre the least busy engines are chosen first.

    A data centre whose engines all have one role sends either all prompts or
    all KV caches to other data centres. Before that, a software version keeps
    a decode engine as far as possible: its streams can go on at no other.
    """
    ranked = sorted(
        engines,
        key=lambda one: (busy.get(one.name, 0), one.name),
    )
    decoding = collections.Counter(decoding_versions)
    chosen: list[Entry] = []
    while ranked and len(chosen) < count:
        counts = collections.Counter(one.data_centre for one in ranked)
        engine = min(
            ranked, key=functools.partial(_rank_change, role, decoding, counts)
        )
        ranked.remove(engine)
        decoding[engine.version] += 1 if role is Role.DECODE else -1
        chosen.append(engine)
    return tuple(RoleChange(engine, role) for engine in chosen)


def _rank_change(
    role: Role,
    decoding: Mapping[str, int],
    counts: Mapping[str, int],
    engine: Entry,
) -> tuple[bool, int]:
    """Return the sort key of an engine that may change; the lowest is next.

    ``decoding`` counts the decode engines by version, ``counts`` the engines
    that may change by data centre.
    """
    decode_count = decoding[engine.version]
    is_needed = decode_count > 0 if role is Role.DECODE else decode_count <= 1
    return (is_needed, -counts[engine.data_centre])
