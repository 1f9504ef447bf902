"""Dependencies of the front on other slices."""

import dataclasses
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, Protocol

from returns.result import Result

from verbenahall.backoff import BackoffTable
from verbenahall.clock import Clock, monotonic
from verbenahall.errors import Problem
from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.front._endpoints import Sessions
from verbenahall.front._engines import EngineAdapter
from verbenahall.front._services import ServiceAdapter
from verbenahall.load import EngineStates, LoadState


class Claim(Protocol):
    """Claims a workspace's idempotency key for one call."""

    async def __call__(self, workspace: str, key: str) -> Result[int, Problem]:
        """Return the offset of the claim's record, or why the claim failed."""


class Settings(Protocol):
    """The part of the effective settings that serving requests needs."""

    models: Mapping[str, Any]
    adapters: Mapping[str, Any]
    workspaces: Mapping[str, Any]
    drains: Mapping[str, Any]
    services: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Clients for the protocols of engines and of plain services."""

    engines: EngineAdapter
    services: ServiceAdapter


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAccess:
    """The other instances that may serve requests of this one.

    ``list_live()`` returns them, ``is_local(peer)`` is by data centre.
    ``is_author(name, host)`` is whether a request from ``host`` may come from
    the listed instance ``name``.
    """

    sessions: Sessions
    list_live: Callable[[], Sequence[Endpoint]]
    is_local: Callable[[Endpoint], bool]
    is_author: Callable[[str, str | None], bool]


def ignore_release(workspace: str, key: str, offset: int) -> None:
    """Do nothing: the key stays claimed."""


def list_no_services() -> Collection[str]:
    """Return no names: services are known by the settings only."""
    return ()


def ignore_demand(
    model: str,
    prompt_tokens: int,
    output_tokens: int,
) -> None:
    """Do nothing, for instances without automatic pools."""


def bear_all(target: str, left_s: float) -> bool:
    """Return True: the instance is not stopped."""
    return True


def ignore_run(target: str, took_s: float) -> None:
    """Do nothing, for instances that are not stopped."""


@dataclasses.dataclass(frozen=True, slots=True)
class FrontDependencies:
    """The states and clients that the front uses.

    ``list_available(kind, now, service)`` and ``find_status(name, now)`` read
    the membership; ``report_answer(name)`` and ``report_failure(name)`` update
    it. ``read_settings()`` returns the effective settings and
    ``read_position()`` their offset. ``claim(workspace, key)`` claims the key
    of a call; ``release(workspace, key, offset)`` releases it if the call
    certainly never ran. ``record_demand(model, prompt_tokens, output_tokens)``
    is called for each request for a known model. ``check_ready()`` returns why
    the instance takes no requests, or None. ``backoffs`` holds what endpoints
    have requested from this instance. ``rng`` has a different seed on
    each instance. ``list_services()`` returns the services that the platform
    lists, also those whose endpoints are all silent. Without ``peers`` no
    request is forwarded or received. ``bears(target, left_s)`` is whether a
    stop leaves enough time for a request for a model or service, and
    ``record_run(target, took_s)`` gets the time of each whole answer.
    """

    list_available: Callable[[EndpointKind, float, str], Sequence[Endpoint]]
    find_status: Callable[[str, float], EndpointStatus]
    report_answer: Callable[[str], None]
    report_failure: Callable[[str], None]
    read_settings: Callable[[], Settings]
    read_position: Callable[[], int]
    claim: Claim
    check_ready: Callable[[], Problem | None]
    load: LoadState
    states: EngineStates
    adapters: Adapters
    rng: random.Random
    clock: Clock = monotonic
    record_demand: Callable[[str, int, int], None] = ignore_demand
    release: Callable[[str, str, int], None] = ignore_release
    backoffs: BackoffTable = dataclasses.field(default_factory=BackoffTable)
    list_services: Callable[[], Collection[str]] = list_no_services
    peers: PeerAccess | None = None
    bears: Callable[[str, float], bool] = bear_all
    record_run: Callable[[str, float], None] = ignore_run
