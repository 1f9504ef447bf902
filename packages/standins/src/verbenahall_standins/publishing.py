"""Publishes settings with ``verbenactl`` and waits for their effect."""

import asyncio
import dataclasses
import subprocess
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import aiohttp

from verbenahall import clock
from verbenahall_standins import process
from verbenahall_standins.deployment import Deployment

#: Seconds between two polls of the instances' status.
_POLL_S: Final = 0.02
#: Seconds within which a published change must be in force everywhere.
_TIMEOUT_S: Final = 10


class PublishError(Exception):
    """``verbenactl`` failed, or its record did not appear in the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedChange:
    """A published change.

    ``seconds`` is the time from its append until it was in force everywhere.
    """

    offset: int
    seconds: float


def publish(file: Path, team: str, log: str) -> str:
    """Publish a settings file to the log at an address.

    Returns the last line that ``verbenactl`` prints; raises ``PublishError``
    if it fails.
    """
    script = process.find_script('verbenactl')
    completed = subprocess.run(
        (script, 'publish', str(file), '--team', team)
        + ('--author', 'demo', '--log', log),
        capture_output=True,
        text=True,
    )
    if completed.returncode:
        raise PublishError(f'{completed.stdout}{completed.stderr}')
    return completed.stdout.strip().rpartition('\n')[-1]


class Publisher:
    """Publishes settings to one deployment."""

    __slots__ = ('_deployment', '_session', '_token')

    def __init__(
        self,
        deployment: Deployment,
        session: aiohttp.ClientSession,
        token: str,
    ) -> None:
        """Use an administration token to read the instances' status."""
        self._deployment = deployment
        self._session = session
        self._token = token

    def publish(self, file: Path, team: str) -> str:
        """Publish a file; return the last line that ``verbenactl`` prints."""
        return publish(file, team, self._deployment.address('log'))

    async def publish_and_wait(self, file: Path, team: str) -> AppliedChange:
        """Publish and wait until the change is in force on all instances."""
        before = await self.fetch_json('log', '/read?limit=1')
        publishing = asyncio.create_task(
            asyncio.to_thread(self.publish, file, team),
        )
        offset = await self._wait_for_record(before['last'])
        appended = clock.monotonic()
        async with asyncio.timeout(_TIMEOUT_S):
            while await self._fetch_min_position() < offset:
                await asyncio.sleep(_POLL_S)
        took_s = clock.monotonic() - appended
        await publishing
        return AppliedChange(offset, took_s)

    async def fetch_json(self, name: str, path: str) -> Mapping[str, Any]:
        """Fetch JSON from a process of the deployment."""
        headers = {'Authorization': f'Bearer {self._token}'}
        address = self._deployment.address(name)
        async with self._session.get(
            f'http://{address}{path}',
            headers=headers,
        ) as answer:
            return await answer.json()

    async def _wait_for_record(self, after: int) -> int:
        path = f'/read?after={after}&wait={_TIMEOUT_S}&streams=settings'
        page = await self.fetch_json('log', path)
        if not page['records']:
            raise PublishError('the change did not appear in the log')
        return page['records'][0]['offset']

    async def _fetch_min_position(self) -> int:
        statuses = await asyncio.gather(
            *(
                self.fetch_json(name, '/admin/v1/status')
                for name in self._deployment.description.instances
            ),
        )
        return min(status['settings_position'] for status in statuses)
