"""Checks immediately before a send whether the call may still be sent.

An endpoint is chosen some time before: the request may have waited since for
a prefill, a permit or a fresh list.
"""

import asyncio
from typing import Final

from returns.result import Failure

from verbenahall import journal, metrics, quarantine
from verbenahall.gateway._admission import find_workspace
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.platform import ENDPOINTS_TOPIC
from verbenahall.requests import (
    BackingOff,
    Limited,
    NeverWritten,
    NotSent,
    Quarantined,
    Stopping,
    Unauthorized,
    get_outcome_label,
)
from verbenahall.roster import Entry, fits_version

#: Reason that is logged when the endpoint left after it was chosen.
_ENDPOINT_LEFT: Final = 'the endpoint has left'

#: Reason that is logged when the endpoint was started again, under its name and
#: with another software version, after it was chosen.
_ENDPOINT_UPDATED: Final = 'the endpoint has another software version now'

#: Longest wait until what was known of crashes before this instance started is
#: known, or until fewer requests with unknown parts are open, in seconds. After
#: it the caller is asked to come back as much later.
_MAX_UNKNOWN_S: Final = 0.5
#: Interval at which that is checked, in seconds.
_POLL_S: Final = 0.02


async def check_sendable(
    core: Core,
    call: Call,
    endpoint: Entry,
    until: float,
    *,
    writes: bool = True,
) -> NotSent | None:
    """Return why a call may not be sent, and log it; None if it may be.

    That is the case if the endpoint has left since it was chosen or requested
    a backoff, if its rate limit allows no more, if a stop of this instance
    leaves no time for the answer, if the call is in quarantine
    because endpoints crashed while they ran it, or if its API key is no longer
    valid. ``until`` is when the answer is of no more use, in monotonic seconds,
    and ``writes`` whether the endpoint is to write an answer, not only to
    prefill the prompt. A call whose caller has left is cancelled.
    """
    not_sent = None
    if writes and not await _wait_for_history(core, call, until):
        not_sent = Limited(_MAX_UNKNOWN_S)
    if not_sent is None:
        not_sent = await _find_obstacle(core, call, endpoint, until)
    if not_sent is None:
        await call.end_if_left('send')
    else:
        _log_not_sent(call, endpoint, not_sent)
    return not_sent


def count_crashes(core: Core, call: Call) -> int:
    """Return the most crashes that count against a call or one of its parts."""
    return quarantine.count_crashes(core.crash_log, call.quarantine_keys)


def begin_unknown(core: Core, call: Call) -> None:
    """Count a call as open if a part of it is unknown."""
    log = core.crash_log
    if quarantine.is_unknown(log, call.part_keys):
        log.unknown_open.add(call.head.identity)


def end_unknown(core: Core, call: Call) -> None:
    """Count a call as open no longer."""
    core.crash_log.unknown_open.discard(call.head.identity)


async def _wait_for_history(core: Core, call: Call, until: float) -> bool:
    """Wait until a call's parts are known, or few of unknown ones are open."""
    log = core.crash_log
    end = min(until, core.now() + _MAX_UNKNOWN_S)
    while quarantine.is_unknown(log, call.part_keys):
        if quarantine.may_try_unknown(log):
            return True
        if core.now() >= end:
            return False
        await asyncio.sleep(_POLL_S)
    return True


async def _find_obstacle(
    core: Core,
    call: Call,
    endpoint: Entry,
    until: float,
) -> NotSent | None:
    limited = await core.limiter.acquire(endpoint, until - core.now())
    if limited is not None:
        return limited
    await core.freshness[ENDPOINTS_TOPIC].wait_usable()
    now = core.now()
    left_s = quarantine.find_longest_quarantine_s(
        core.crash_log, call.quarantine_keys, now
    )
    if left_s:
        return Quarantined(left_s)
    if not core.roster.is_live(endpoint.name, now):
        return NeverWritten(_ENDPOINT_LEFT)
    if not fits_version(endpoint, core.roster.find_version(endpoint.name)):
        return NeverWritten(_ENDPOINT_UPDATED)
    if not core.endpoints.backoffs.may_send(endpoint.incarnation, now):
        return BackingOff(
            core.endpoints.backoffs.find_left_s(endpoint.incarnation, now)
        )
    if isinstance(find_workspace(core, call), Failure):
        return Unauthorized()
    if not core.bears(call.route.name, call.left_s(now)):
        return Stopping()
    return None


def _log_not_sent(call: Call, endpoint: Entry, not_sent: NotSent) -> None:
    metrics.NOT_SENT.add(get_outcome_label(not_sent))
    journal.write_decision(
        'not_sent',
        request=call.head.identity,
        fingerprint=call.fingerprint,
        endpoint=endpoint.name,
        reason=str(not_sent),
    )
