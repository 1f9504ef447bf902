"""Exhaustive search and random walks that check safety properties."""

import dataclasses
import random
from typing import Any

from verbenahall.authority import find_token
from verbenahall_standins.explorer._rules import Rules
from verbenahall_standins.explorer._state import (
    Bounds,
    Instance,
    SystemState,
)
from verbenahall_standins.explorer._timing import LEASE
from verbenahall_standins.explorer._transitions import list_transitions

#: The labels of the transitions so far as a linked list, the last one first.
Trail = tuple[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The number of states visited, and the violation found with its trace."""

    states: int
    violation: str | None = None
    trace: tuple[str, ...] = ()


def find_duplicate_lease(state: SystemState) -> str | None:
    """Return a message if both instances hold the lease, else None."""
    tokens = [
        find_token(instance.authority, instance.candidate, LEASE, state.now)
        for instance in state.instances
    ]
    if all(token is not None for token in tokens):
        return 'two instances hold the lease'
    return None


def find_stale_order(before: SystemState, after: SystemState) -> str | None:
    """Return a message if the engine executed a stale order, else None.

    An order is stale once the engine has executed an order under a higher
    token. For an engine that ignores tokens it is also stale once a later
    holder has read back the engine's state and relies on it.
    """
    for old, new in zip(before.engines, after.engines, strict=True):
        if new == old:
            continue
        if new.applied_token < old.applied_token:
            return f'the engine returned to token {new.applied_token}'
        checks = old.endpoint.checks_fencing
        if not checks and new.applied_token < _find_read_back_token(before):
            return f'the engine executed {new.applied_token} after read-back'
    return None


def _find_read_back_token(state: SystemState) -> int:
    """Return the highest token of a holder that has read back the engine."""
    return max(
        (
            instance.dispatch.grant.token
            for instance in state.instances
            if instance.dispatch.grant is not None and _has_read_back(instance)
        ),
        default=0,
    )


def _has_read_back(instance: Instance) -> bool:
    engine_sends = instance.dispatch.sends.get('engine')
    return engine_sends is not None and engine_sends.cleared


def explore(state: SystemState, bounds: Bounds, rules: Rules) -> Report:
    """Visit every state within the bounds; stop at the first violation."""
    seen = {state.key}
    frontier: list[tuple[SystemState, Trail]] = [(state, None)]
    while frontier:
        current, trail = frontier.pop()
        for label, successor in list_transitions(current, bounds, rules):
            key = successor.key
            if key in seen:
                continue
            seen.add(key)
            path = (label, trail)
            violation = find_violation(current, successor)
            if violation:
                return Report(len(seen), violation, _list_labels(path))
            frontier.append((successor, path))
    return Report(len(seen))


def walk(
    state: SystemState,
    bounds: Bounds,
    rules: Rules,
    rng: random.Random,
    steps: int,
) -> Report:
    """Follow one random schedule of at most ``steps`` transitions."""
    trail: Trail = None
    for step in range(steps):
        transitions = list(list_transitions(state, bounds, rules))
        label, successor = rng.choice(transitions)
        trail = (label, trail)
        violation = find_violation(state, successor)
        if violation:
            return Report(step + 1, violation, _list_labels(trail))
        state = successor
    return Report(steps)


def find_violation(before: SystemState, after: SystemState) -> str | None:
    """Return which safety property a transition violates, or None."""
    return find_duplicate_lease(after) or find_stale_order(before, after)


def _list_labels(trail: Trail) -> tuple[str, ...]:
    labels = []
    while trail is not None:
        label, trail = trail
        labels.append(label)
    return tuple(reversed(labels))
