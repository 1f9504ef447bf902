"""Decides which engines of a service prefill and which decode.

A decode engine serves a whole batch of streams with each step. A prefill
engine serves one prompt after the other, and its memory holds the prefix
cache. So most engines prefill, and as many decode as the streams need.
"""

import collections
import dataclasses
import functools
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from verbenahall.engine_speeds import USUAL_ROLES, ServiceRoles
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
#: Ratio of the speeds of two classes of engines, when engines are chosen.
_SPEED_CLASS: Final = 1.3
_EXCHANGE: Final = 'exchange'
_EQUALLY_FAST: Final[Mapping[str, float]] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """An engine and the role that it is to change to.

    ``reason`` is ``share`` if the number of engines with a role is to change,
    or ``exchange`` if a fast and a slow engine exchange their roles.
    """

    engine: Entry
    role: Role
    reason: str = 'share'


def plan_roles(
    engines: Sequence[Entry],
    busy: Mapping[str, int],
    recently_lost: int = 0,
    factors: Mapping[str, float] = _EQUALLY_FAST,
    roles: ServiceRoles = USUAL_ROLES,
) -> tuple[RoleChange, ...]:
    """Return the changes that give a service its planned roles.

    ``busy`` is the number of streams or prefills open at an engine. The least
    busy engines are changed, because a change waits for open work to end.
    ``recently_lost`` is the number of engines that were lost without notice.
    Most of them are back by the time a change would be done, and changing
    roles back and forth takes two engines out of service for seconds each. So
    with lost engines a change is made only if no decode engine is left.
    ``factors`` are those on the durations at engines that differ in speed: the
    fast ones are chosen for prefill, the slow ones for decode. ``roles`` is
    what else the roles are to follow.
    """
    decode_engines = [one for one in engines if one.role is Role.DECODE]
    prefill_engines = [one for one in engines if one.role is Role.PREFILL]
    versions = [one.version for one in decode_engines]
    choose = functools.partial(_choose_engines, busy, factors)
    if recently_lost:
        missing = 0 if decode_engines else 1
        return choose(prefill_engines, Role.DECODE, missing, ())
    total = len(decode_engines) + len(prefill_engines)
    target = roles.decode_count or math.ceil(total * _DECODE_SHARE)
    surplus = len(decode_engines) - target
    if not surplus:
        return tuple(_exchange(roles))
    count = min(
        abs(surplus), max(_MAX_CHANGES, int(total * _MAX_CHANGED_SHARE))
    )
    if surplus > 0:
        return choose(decode_engines, Role.PREFILL, count, versions)
    return choose(prefill_engines, Role.DECODE, count, versions)


def _exchange(roles: ServiceRoles) -> Iterator[RoleChange]:
    """Yield the changes of pairs that exchange their roles."""
    for prefill_engine, decode_engine in roles.exchanges:
        yield RoleChange(prefill_engine, Role.DECODE, _EXCHANGE)
        yield RoleChange(decode_engine, Role.PREFILL, _EXCHANGE)


def _choose_engines(
    busy: Mapping[str, int],
    factors: Mapping[str, float],
    engines: Sequence[Entry],
    role: Role,
    count: int,
    decoding_versions: Iterable[str],
) -> tuple[RoleChange, ...]:
    """Choose engines from the data centres that have most of ``engines``.

    Within a data centre the fastest engines are chosen first for prefill and
    the slowest for decode, among equally fast ones the least busy.

    A data centre whose engines all have one role sends either all prompts or
    all KV caches to other data centres. Before that, a software version keeps
    a decode engine as far as possible: its streams can go on at no other.
    """
    ranked = sorted(
        engines,
        key=lambda one: (
            _rank_speed(role, factors.get(one.name, 1)),
            busy.get(one.name, 0),
            one.name,
        ),
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


def _rank_speed(role: Role, factor: float) -> int:
    """Return the sort key of an engine by its speed, in classes.

    The lowest is the fastest for prefill and the slowest for decode. Speeds
    that differ by less than a class are measured no better than that.
    """
    speed_class = round(math.log(factor, _SPEED_CLASS))
    return speed_class if role is Role.PREFILL else -speed_class


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
