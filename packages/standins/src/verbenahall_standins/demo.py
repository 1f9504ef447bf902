"""Demo of both deployments with traffic and a change of settings.

``python -m verbenahall_standins.demo`` starts their processes, prints ``demo:
N answered, M failed`` as its last line and exits with 0 only if M is 0.
"""

import argparse
import asyncio
import itertools
import secrets
import signal
import sys
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Final

import aiohttp
import uvloop

from verbenahall import clock
from verbenahall_standins import process
from verbenahall_standins.caller import Caller, Outcome
from verbenahall_standins.deployment import Deployment
from verbenahall_standins.description import (
    list_settings_files,
    read_description,
    set_values,
)
from verbenahall_standins.publishing import Publisher, PublishError
from verbenahall_standins.traffic import RequestGenerator

_DEPLOYMENTS: Final = ('desk', 'atlas')
_REQUEST_COUNT: Final = 160
_CONCURRENCY: Final = 12
_READY_TIMEOUT_S: Final = 20.0
_ORDERS_TIMEOUT_S: Final = 15.0
_POLL_S: Final = 0.05
_MAX_SHOWN_FAILURES: Final = 5
#: Exit code after SIGTERM: 128 + 15.
_STOPPED_EXIT_CODE: Final = 143
_RUN_FOLDER: Final = Path('run')
_EXAMPLES: Final = Path('examples')


class DemoError(Exception):
    """The demo cannot continue."""


class Demo:
    """Demo run of one deployment."""

    __slots__ = ('_deployment', '_name', '_publisher', '_session')

    def __init__(
        self,
        deployment: Deployment,
        session: aiohttp.ClientSession,
    ) -> None:
        """Use a deployment whose processes are running."""
        name = deployment.description.name
        token = f'{name}-fleet-token'
        self._deployment = deployment
        self._name = name
        self._publisher = Publisher(deployment, session, token)
        self._session = session

    async def run(self, seed: int, count: int) -> list[Outcome]:
        """Publish settings, then change one of them under traffic."""
        await self._prepare()
        instances = self._deployment.description.instances
        caller = Caller(
            self._session,
            [self._deployment.address(name) for name in instances],
        )
        generator = RequestGenerator(seed, secrets.token_hex(4))
        requests = generator.generate(self._name, count)
        sending = asyncio.create_task(caller.send_all(requests, _CONCURRENCY))
        await self._change_setting()
        await sending
        self._report(caller)
        return caller.outcomes

    async def _prepare(self) -> None:
        await self._deployment.register(self._session)
        await self._wait(
            'instances ready', _READY_TIMEOUT_S, self._are_all_ready
        )
        for team, file in list_settings_files(self._deployment.description):
            line = self._publisher.publish(file, team)
            self._print_line(f'published {file.name}: {line}')
        await self._wait(
            'orders in force', _ORDERS_TIMEOUT_S, self._are_all_loaded
        )

    async def _change_setting(self) -> None:
        """Publish a change; print when it is in force on all instances."""
        team, example = list_settings_files(self._deployment.description)[-1]
        changed = set_values(example.read_text(), {'queue': 200})
        file = _RUN_FOLDER / self._name / example.name
        file.write_text(changed)
        applied = await self._publisher.publish_and_wait(file, team)
        took_ms = round(applied.seconds * 1000)
        count = len(self._deployment.description.instances)
        self._print_line(
            f'setting at offset {applied.offset} in force on all {count} '
            + f'instances {took_ms} ms after its append',
        )

    async def _wait(
        self,
        condition: str,
        timeout_s: float,
        check: Callable[[], Awaitable[bool]],
    ) -> None:
        started = clock.monotonic()
        while not await check():
            if clock.monotonic() - started > timeout_s:
                raise DemoError(
                    f'not reached within {timeout_s} s: {condition}'
                )
            await asyncio.sleep(_POLL_S)
        took_s = round(clock.monotonic() - started, 2)
        self._print_line(f'{condition} after {took_s} s')

    async def _are_all_ready(self) -> bool:
        names = self._deployment.description.instances
        return all(await asyncio.gather(*map(self._is_ready, names)))

    async def _is_ready(self, name: str) -> bool:
        address = self._deployment.address(name)
        async with self._session.get(f'http://{address}/readyz') as answer:
            return answer.status == HTTPStatus.OK

    async def _are_all_loaded(self) -> bool:
        names = self._deployment.description.engines
        return all(await asyncio.gather(*map(self._is_loaded, names)))

    async def _is_loaded(self, name: str) -> bool:
        state = await self._publisher.fetch_json(name, '/state')
        return bool(state['adapters']) and not state['changing']

    def _report(self, caller: Caller) -> None:
        for line in caller.summarise():
            self._print_line(line)
        failures = [row for row in caller.outcomes if row.error]
        for failure in failures[:_MAX_SHOWN_FAILURES]:
            self._print_line(f'{failure.kind} failed: {failure.error}')

    def _print_line(self, line: str) -> None:
        print_line(f'{self._name}: {line}')


def print_line(line: str) -> None:
    """Print one line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def run_deployment(name: str, seed: int, count: int) -> list[Outcome]:
    """Start a deployment's processes, run the demo and stop them.

    By default, SIGTERM would end this process and leave its children running.
    Here it cancels the task instead. A task is cancelled only where it awaits,
    so never between the start of a child process and the assignment by which
    ``stop`` finds it.
    """
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    description = read_description(_EXAMPLES / name)
    deployment = Deployment(description, _RUN_FOLDER / name)
    try:
        return await _start_and_run(deployment, seed, count)
    finally:
        deployment.stop()


async def _start_and_run(
    deployment: Deployment,
    seed: int,
    count: int,
) -> list[Outcome]:
    deployment.start_platform()
    deployment.start_endpoints()
    deployment.start_instances()
    description = deployment.description
    started = len(deployment.running)
    print_line(f'{description.name}: {started} processes started')
    async with aiohttp.ClientSession() as session:
        return await Demo(deployment, session).run(seed, count)


def run(name: str, seed: int, count: int) -> list[Outcome]:
    """Run one deployment; a run that is aborted counts as one failure."""
    try:
        return uvloop.run(run_deployment(name, seed, count))
    except (DemoError, PublishError, process.NotReadyError) as error:
        print_line(f'{name}: {error}')
        return [Outcome('run', str(error), 0)]
    except asyncio.CancelledError:
        sys.exit(_STOPPED_EXIT_CODE)


def main() -> None:
    """Run the demo and exit."""
    parser = argparse.ArgumentParser(description='Run both deployments')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--requests', type=int, default=_REQUEST_COUNT)
    options = parser.parse_args()
    runs = [run(name, options.seed, options.requests) for name in _DEPLOYMENTS]
    outcomes = list(itertools.chain.from_iterable(runs))
    failed = len([outcome for outcome in outcomes if outcome.error])
    answered = len(outcomes) - failed
    print_line(f'demo: {answered} answered, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
