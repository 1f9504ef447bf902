"""Chooses engines for streams that have begun, by their software version."""

from collections.abc import Collection
from typing import Any

from returns.maybe import Some
from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.placement import PlacementRequest, Plan, place


async def find_version(core: Core, call: Call) -> Result[str | None, Problem]:
    """Return the version of the stream that a call takes up, None if it is new.

    The instance that has forwarded a call states the version. Fails if it is
    unknown: at any version the stream could hold events that do not fit.
    """
    if call.hop is not None and call.hop.stream_version is not None:
        return Success(call.hop.stream_version)
    if not call.takes_up:
        return Success(None)
    match await core.stream_versions.find(call):
        case Some(version):
            return Success(version)
        case _:
            message = 'the software version that began the stream is unknown'
            return Failure(_make_problem(core, call, message))


def make_gone_problem(core: Core, call: Call, version: str) -> Problem:
    """Return the refusal of a stream whose version has no engine left."""
    if call.takes_up:
        metrics.STREAMS_TAKEN_UP.add('gone')
    message = f'no engine of the software version {version!r} is left'
    return _make_problem(core, call, message)


def place_unqueued(
    core: Core,
    call: Call,
    placement_request: PlacementRequest,
    tried: Collection[str],
) -> Result[Plan, Problem]:
    """Choose engines for a request that does not wait in the queue.

    Engines that have failed the call, or are avoided, are used only if no
    others fit, and never those that cannot be reached.
    """
    now = core.now()
    service = call.service.name
    usable = core.endpoints.list_usable(service, now)
    untried = [one for one in usable if one.name not in tried]
    traits = call.service.engine
    placed = place(
        core.placement, placement_request, untried or usable, traits, now
    )
    if is_lacking(placed) and placement_request.version is not None:
        reachable = [
            one
            for one in core.endpoints.list_available(service, now)
            if core.endpoint_health.is_reachable(one.name, now)
        ]
        return place(core.placement, placement_request, reachable, traits, now)
    return placed


def is_lacking(placed: Result[Any, Problem]) -> bool:
    """Whether a request is refused as no engine fits."""
    match placed:
        case Failure(Problem(kind=kind)):
            return kind is ErrorKind.NO_ENDPOINT
        case _:
            return False


def _make_problem(core: Core, call: Call, message: str) -> Problem:
    """Return the refusal of a stream that cannot go on.

    It is not known to become possible while the caller waits.
    """
    left_s = call.left_s(core.now())
    return Problem(ErrorKind.NO_ENDPOINT, message, Ran.NO, left_s)
