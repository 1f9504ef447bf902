"""Runs one plan and checks the outcome."""

import asyncio
import contextlib
import functools
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator, Mapping, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Final

from verbenahall_standins.soak._actions import run_event
from verbenahall_standins.soak._broken_answers import find_broken_answers
from verbenahall_standins.soak._checks import find_violations
from verbenahall_standins.soak._cuts import (
    STABLE_S,
    find_unserved,
)
from verbenahall_standins.soak._deployment import WORKSPACE, Deployment
from verbenahall_standins.soak._notices import find_unheeded_notices
from verbenahall_standins.soak._parts import find_resent_parts
from verbenahall_standins.soak._plan import (
    Event,
    Scenario,
    draw_plan,
)
from verbenahall_standins.soak._records import Record
from verbenahall_standins.soak._streams import find_mixed, find_not_resumed

_REQUEST_ID_HEADER: Final = 'X-Verbenahall-Request-Id'
_WORKSPACE_HEADER: Final = 'X-Verbenahall-Tenant'
_KEY_HEADER: Final = 'X-Verbenahall-Key'
#: Number of instances unless given.
_INSTANCES: Final = 3
#: Time for the recovery from the last fault, in seconds: within two to three
#: seconds endpoints are listed and settings in force again.
_RECOVERY_S: Final = 3.5


async def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    instances: int = _INSTANCES,
    scenario: Scenario = Scenario.ANY_FAULTS,
) -> list[str]:
    """Run one seed; return the violations, one line each."""
    deployment = Deployment(folder, instances, scenario)
    events = draw_plan(seed, seconds, scenario)
    async with _run_callers(deployment):
        await _run_events(deployment, events, seconds)
        await asyncio.sleep(_RECOVERY_S)
        final_records = [await one.send_all() for one in deployment.callers]
        revoked = [
            await one.send_with_key(deployment.revoked_key)
            for one in deployment.callers
            if deployment.revoked_key
        ]
    # The stand-ins of other seeds run on the same loop.
    return await asyncio.to_thread(
        _list_violations, deployment, final_records, revoked
    )


def _list_violations(
    deployment: Deployment,
    final_records: Sequence[Sequence[Record]],
    revoked: Sequence[Record],
) -> list[str]:
    return [
        *_check_requests(deployment),
        *_check_recovery(final_records),
        *_check_revoked_key(revoked),
        *_check_workspaces(deployment),
        *deployment.duties.violations,
    ]


@contextlib.asynccontextmanager
async def _run_callers(deployment: Deployment) -> AsyncIterator[None]:
    """Run the deployment and its callers; stop them in any case."""
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        tasks = [
            asyncio.create_task(sending)
            for one in deployment.callers
            for sending in (one.run(), one.run_kept())
        ]
        tasks.append(asyncio.create_task(deployment.update_entries()))
        yield
    finally:
        for task in tasks:
            task.cancel()
        await deployment.stop()


async def _run_events(
    deployment: Deployment,
    events: Sequence[Event],
    seconds: float,
) -> None:
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for event in events:
            await _sleep_until(started + event.at)
            group.create_task(run_event(deployment, event))
        await _sleep_until(started + seconds)


async def _sleep_until(moment: float) -> None:
    await asyncio.sleep(max(0, moment - time.monotonic()))


def _check_requests(deployment: Deployment) -> list[str]:
    records = [one for calls in deployment.callers for one in calls.records]
    runs = Counter(
        run.get(_REQUEST_ID_HEADER, '')
        for endpoint in deployment.all_endpoints
        for run in endpoint.runs
    )
    unnamed = runs.pop('', 0)
    orders = [engine.orders for engine in deployment.site.engines]
    ends = [
        f'{instance.name}: exit code {code} after SIGTERM'
        for instance in deployment.instances
        for code in instance.exit_codes
        if code
    ]
    strangers = [f'{unnamed} runs of requests without an ID'] if unnamed else []
    return [
        *strangers,
        *find_violations(records, runs, orders),
        *find_unheeded_notices(
            {one.name: one.notices for one in deployment.all_endpoints},
            records,
            deployment.link_faults,
            deployment.was_disturbed,
        ),
        *deployment.list_late_arrivals(records),
        *_check_streams(deployment),
        *find_broken_answers(
            records,
            deployment.list_histories(),
            deployment.find_limit,
            deployment.cuts.was_cut,
            [at for one in deployment.instances for at in one.kills],
        ),
        *find_unserved(
            records,
            deployment.cuts.windows,
            functools.partial(_list_in_touch, deployment),
        ),
        *ends,
    ]


def _check_streams(deployment: Deployment) -> list[str]:
    attempts = [one for calls in deployment.callers for one in calls.streams]
    return [
        *find_resent_parts(
            deployment.site.engines,
            _join_instances(deployment),
            lambda name, at: name in _list_in_touch(deployment, at, at),
        ),
        *find_mixed(attempts),
        *find_not_resumed(
            attempts,
            lambda name, at: name in _list_in_touch(deployment, at, at),
        ),
    ]


def _join_instances(deployment: Deployment) -> Mapping[str, str]:
    """Return the instance of each request that crashes engines."""
    return dict(
        itertools.chain.from_iterable(
            calls.crashing_from.items() for calls in deployment.callers
        )
    )


def _list_in_touch(
    deployment: Deployment, start: float, end: float
) -> frozenset[str]:
    """Return the instances that were in touch between two times.

    By the users' rules one is in touch if it has run for a while before.
    """
    return frozenset(
        instance.name
        for instance in deployment.instances
        if not instance.was_restarted(start - STABLE_S, end)
    )


def _check_revoked_key(answered: Sequence[Record]) -> list[str]:
    return [
        f'{record.request_id}: {record.instance} answers {record.status}'
        ' to a revoked key'
        for record in answered
        if record.status != HTTPStatus.UNAUTHORIZED
    ]


def _check_workspaces(deployment: Deployment) -> list[str]:
    """Check that sends name the callers' workspace and carry no API key."""
    sends = itertools.chain(
        *(endpoint.runs for endpoint in deployment.all_endpoints),
        *(engine.prefills for engine in deployment.site.engines),
    )
    return [
        f'{send.get(_REQUEST_ID_HEADER)}: sent for'
        f' {send.get(_WORKSPACE_HEADER)} or with a key'
        for send in sends
        if send.get(_WORKSPACE_HEADER) != WORKSPACE or _KEY_HEADER in send
    ]


def _check_recovery(final_records: Sequence[Sequence[Record]]) -> list[str]:
    return [
        f'{record.request_id}: {record.instance} answers {record.status}'
        f' after recovery (version {record.version})'
        for records in final_records
        for record in records
        if record.status != HTTPStatus.OK or not record.complete
    ]
