"""Plays one plan and judges what was seen."""

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Final

from verbenahall_standins.soak._actions import act
from verbenahall_standins.soak._checks import Record, find_broken
from verbenahall_standins.soak._deployment import WORKSPACE, Deployment
from verbenahall_standins.soak._plan import Event, draw_plan

_REQUEST: Final = 'X-Verbenahall-Request-Id'
_WORKSPACE: Final = 'X-Verbenahall-Tenant'
_KEY: Final = 'X-Verbenahall-Key'
#: Time for all to hold again after the last fault: entries are back and
#: settings in force within two to three seconds.
_SETTLE_S: Final = 3.5


async def run_soak(seed: int, seconds: float, folder: Path) -> list[str]:
    """Play one seed; return what was broken, nothing when all held."""
    deployment = Deployment(folder)
    async with _ask_throughout(deployment):
        await _play(deployment, draw_plan(seed, seconds), seconds)
        await asyncio.sleep(_SETTLE_S)
        last = [await one.ask_all() for one in deployment.callers]
        retired = [
            await one.ask_with(deployment.retired)
            for one in deployment.callers
            if deployment.retired
        ]
    return [
        *_judge(deployment),
        *_judge_end(last),
        *_judge_retired(retired),
        *_judge_workspaces(deployment),
        *deployment.duties.broken,
    ]


@contextlib.asynccontextmanager
async def _ask_throughout(deployment: Deployment) -> AsyncIterator[None]:
    """Have callers ask all the time; end what was started in any case."""
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        tasks = [asyncio.create_task(one.run()) for one in deployment.callers]
        tasks.append(asyncio.create_task(deployment.follow_roles()))
        yield
    finally:
        for task in tasks:
            task.cancel()
        await deployment.stop()


async def _play(
    deployment: Deployment,
    events: Sequence[Event],
    seconds: float,
) -> None:
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for event in events:
            await _sleep_until(started + event.at)
            group.create_task(act(deployment, event))
        await _sleep_until(started + seconds)


async def _sleep_until(moment: float) -> None:
    await asyncio.sleep(max(0, moment - time.monotonic()))


def _judge(deployment: Deployment) -> list[str]:
    records = [one for calls in deployment.callers for one in calls.records]
    runs = Counter(
        run[_REQUEST]
        for endpoint in deployment.endpoints
        for run in endpoint.runs
    )
    orders = [engine.orders for engine in deployment.site.engines]
    ends = [
        f'{instance.name}: SIGTERM ended with {code}'
        for instance in deployment.instances
        for code in instance.exits
        if code
    ]
    return [*find_broken(records, runs, orders), *ends]


def _judge_retired(asked: Sequence[Record]) -> list[str]:
    return [
        f'{record.identity}: {record.instance} answers {record.status}'
        ' to a key that was taken away'
        for record in asked
        if record.status != HTTPStatus.UNAUTHORIZED
    ]


def _judge_workspaces(deployment: Deployment) -> list[str]:
    """Every send names the key's workspace, and holds no key."""
    sends = itertools.chain(
        *(endpoint.runs for endpoint in deployment.endpoints),
        *(engine.reads for engine in deployment.site.engines),
    )
    return [
        f'{send[_REQUEST]}: sent for {send.get(_WORKSPACE)} or with its key'
        for send in sends
        if send.get(_WORKSPACE) != WORKSPACE or _KEY in send
    ]


def _judge_end(last: Sequence[Sequence[Record]]) -> list[str]:
    return [
        f'{record.identity}: {record.instance} answers {record.status}'
        f' when all is well again (version {record.version})'
        for records in last
        for record in records
        if record.status != HTTPStatus.OK or not record.whole
    ]
