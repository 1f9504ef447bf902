"""What the front needs from other slices."""

import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from returns.result import Result

from verbenahall.clock import Clock, monotonic
from verbenahall.errors import Problem
from verbenahall.fleet import Endpoint, EndpointKind, Standing
from verbenahall.front._engines import EngineAdapter
from verbenahall.front._services import ServiceAdapter
from verbenahall.load import EngineStates, LoadState


class Claim(Protocol):
    """Wins a workspace's key for one call, or says why it cannot."""

    async def __call__(self, workspace: str, key: str) -> Result[int, Problem]:
        """Return the offset of the claim that won."""


class Settings(Protocol):
    """The effective settings, as far as callers' requests need them."""

    models: Mapping[str, Any]
    adapters: Mapping[str, Any]
    workspaces: Mapping[str, Any]
    drains: Mapping[str, Any]
    services: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """The endpoints' protocols; another protocol replaces one of them."""

    engines: EngineAdapter
    services: ServiceAdapter


def ignore_release(workspace: str, key: str, offset: int) -> None:
    """Keep the claim; the key then stays used."""


def ignore_arrival(
    model: str,
    prompt_tokens: int,
    output_tokens: int,
) -> None:
    """Count no demand; for instances without automatic pools."""


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The states and clients that the front is composed with.

    ``live(kind, now, service)`` and ``standing(name, now)`` read the
    membership; ``heard`` and ``missed`` (each with a name) feed it.
    ``settings()`` is the effective settings and ``position()`` their
    offset. ``claim(workspace, key)`` is the claims' promise that a keyed
    call has won; ``release(workspace, key, offset)`` gives it back when it
    surely never ran. ``arrived(model, prompt_tokens, output_tokens)`` hears
    of each request for a known model. ``unready()`` returns why the instance
    takes no requests, or None. ``source`` is seeded apart on each instance.
    """

    live: Callable[[EndpointKind, float, str], Sequence[Endpoint]]
    standing: Callable[[str, float], Standing]
    heard: Callable[[str], None]
    missed: Callable[[str], None]
    settings: Callable[[], Settings]
    position: Callable[[], int]
    claim: Claim
    unready: Callable[[], Problem | None]
    load: LoadState
    states: EngineStates
    adapters: Adapters
    source: random.Random
    clock: Clock = monotonic
    arrived: Callable[[str, int, int], None] = ignore_arrival
    release: Callable[[str, str, int], None] = ignore_release
