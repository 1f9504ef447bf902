"""Exhaustive search and random walks with the safety checks."""

import dataclasses
import random
from typing import Any

from verbenahall.authority import find_token
from verbenahall_standins.explorer._moves import list_moves
from verbenahall_standins.explorer._rules import Rules
from verbenahall_standins.explorer._timing import LEASE
from verbenahall_standins.explorer._world import (
    Bounds,
    Instance,
    World,
)

#: The labels of the moves so far, the last one first.
Trail = tuple[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """How many states were seen and, if any, what went wrong and how."""

    states: int
    violation: str | None = None
    trace: tuple[str, ...] = ()


def find_double_holding(world: World) -> str | None:
    """Return what is wrong if two instances hold the lease, else None."""
    tokens = [
        find_token(instance.authority, instance.candidate, LEASE, world.now)
        for instance in world.instances
    ]
    if all(token is not None for token in tokens):
        return 'two instances hold the lease'
    return None


def find_late_effect(before: World, after: World) -> str | None:
    """Return which lost order took effect in a move, or None.

    An order's authority is lost to an engine once the engine has obeyed a
    higher token or, for one that ignores tokens, once a later holder has
    read its state back and relies on it.
    """
    for was, became in zip(before.engines, after.engines, strict=True):
        if became == was:
            continue
        if became.effect < was.effect:
            return f'the engine went back to token {became.effect}'
        checks = was.endpoint.checks_fencing
        if not checks and became.effect < _find_relying(before):
            return f'the engine obeyed {became.effect} after read-back'
    return None


def _find_relying(world: World) -> int:
    """Return the highest token under which somebody relies on read-back."""
    return max(
        (
            instance.dispatch.grant.token
            for instance in world.instances
            if instance.dispatch.grant is not None and _relies(instance)
        ),
        default=0,
    )


def _relies(instance: Instance) -> bool:
    engine_sends = instance.dispatch.sends.get('engine')
    return engine_sends is not None and engine_sends.cleared


def explore(world: World, bounds: Bounds, rules: Rules) -> Report:
    """Visit every state within the bounds; stop at the first violation."""
    seen = {world.key}
    waiting: list[tuple[World, Trail]] = [(world, None)]
    while waiting:
        current, trail = waiting.pop()
        for label, following in list_moves(current, bounds, rules):
            key = following.key
            if key in seen:
                continue
            seen.add(key)
            path = (label, trail)
            violation = find_violation(current, following)
            if violation:
                return Report(len(seen), violation, _unroll(path))
            waiting.append((following, path))
    return Report(len(seen))


def walk(
    world: World,
    bounds: Bounds,
    rules: Rules,
    randomness: random.Random,
    steps: int,
) -> Report:
    """Take one random schedule of at most ``steps`` moves."""
    trail: Trail = None
    for step in range(steps):
        moves = list(list_moves(world, bounds, rules))
        label, following = randomness.choice(moves)
        trail = (label, trail)
        violation = find_violation(world, following)
        if violation:
            return Report(step + 1, violation, _unroll(trail))
        world = following
    return Report(steps)


def find_violation(before: World, after: World) -> str | None:
    """Return what a move broke, or None."""
    return find_double_holding(after) or find_late_effect(before, after)


def _unroll(trail: Trail) -> tuple[str, ...]:
    labels = []
    while trail is not None:
        label, trail = trail
        labels.append(label)
    return tuple(reversed(labels))
