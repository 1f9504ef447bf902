"""Calls that no endpoint takes: waits for a slow start, and the cause."""

import asyncio
import dataclasses
from collections.abc import Collection, Sequence
from typing import Final

from verbenahall.backoff import choose_retry_after
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.fleet import Role
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.roster import Entry

#: Longest wait for an endpoint in its slow start, as a share of the call's
#: remaining time; the rest is needed to serve the call or its retry.
_MAX_WAIT_SHARE: Final = 0.25
#: Interval in seconds at which a waiting call looks for an endpoint, for each
#: step of priority. Urgent calls look more often, so that they go first.
_POLL_S: Final = 0.01


async def await_slow_start(
    core: Core, call: Call, tried: Collection[str]
) -> bool:
    """Wait until an endpoint in its slow start accepts one more request.

    False if there is none, or if it does not accept one in time. The endpoints
    in ``tried`` have failed the call before.
    """
    end = core.now() + call.left_s(core.now()) * _MAX_WAIT_SHARE
    while core.now() < end and _is_slow_start(core, call):
        await asyncio.sleep(_POLL_S * (call.priority + 1))
        usable = core.endpoints.list_usable(call.service.name, core.now())
        if any(one.name not in tried for one in _select_decoding(usable)):
            return True
    return False


def find_cause(core: Core, call: Call, problem: Problem) -> Problem:
    """Return why no endpoint can take a call, ``problem`` if it is unknown.

    If endpoints have requested a backoff, the caller learns when the first one
    ends, never what the endpoint stated.
    """
    now = core.now()
    left_s = _find_shortest(core, call, now)
    if left_s is not None:
        retry_after_s = choose_retry_after(
            left_s, call.priority, call.left_s(now), core.random
        )
        message = 'the endpoints of the service have requested a backoff'
        return Problem(ErrorKind.OVERLOADED, message, Ran.NO, retry_after_s)
    if _are_all_leaving(core, call.service.name):
        message = 'the last endpoints of the service leave'
        return dataclasses.replace(problem, message=message)
    return problem


def _is_slow_start(core: Core, call: Call) -> bool:
    return _find_shortest(core, call, core.now()) == 0


def _find_shortest(core: Core, call: Call, now: float) -> float | None:
    """Return the shortest rest of a backoff in seconds, None without one."""
    backing_off = core.endpoints.list_backing_off(call.service.name, now)
    return min(
        (
            core.endpoints.backoffs.find_left_s(one.incarnation, now)
            for one in _select_decoding(backing_off)
        ),
        default=None,
    )


def _are_all_leaving(core: Core, service: str) -> bool:
    entries = [one.entry for one in core.roster.listings.values()]
    listed = [one for one in entries if one.service == service]
    decoding = _select_decoding(listed)
    return bool(decoding) and all(one.leaving for one in decoding)


def _select_decoding(endpoints: Sequence[Entry]) -> Sequence[Entry]:
    """Return the endpoints that can answer a call, not only prefill it."""
    return [one for one in endpoints if one.role is not Role.PREFILL]
