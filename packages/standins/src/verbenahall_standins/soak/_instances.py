"""Entry instances as processes that are frozen, killed and restarted."""

import asyncio
import dataclasses
import os
import signal
import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Final, final

import aiohttp

from verbenahall.platform import READY, ProcessSettings, read_settings

#: Time after a disturbance in which requests may still fail or be late, in
#: seconds: requests that arrived during the disturbance are handled first.
_RECOVERY_S: Final = 1.0
#: Timeout of a start, in seconds; the store may be down for three seconds.
_READY_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05


@dataclasses.dataclass(slots=True)
class _Disturbance:
    """A time in which requests to a process may fail.

    If it is ``graceful``, only new connections may fail.
    """

    started_at: float
    graceful: bool
    ended_at: float = float('inf')


@final
class Instance:
    """One gateway process, restarted with the same settings."""

    def __init__(self, name: str, path: Path, links_path: Path) -> None:
        """Prepare a process with the settings at ``path``.

        It connects to endpoints by the links in the file ``links_path``.
        """
        self.name = name
        self.settings: ProcessSettings = read_settings(path).unwrap()
        self.exit_codes: list[int] = []
        #: When the process was killed, in monotonic seconds.
        self.kills: list[float] = []
        self.links_path = links_path
        self._path = path
        self._output = path.with_suffix('.log')
        self._process: asyncio.subprocess.Process | None = None
        self._restarting = False
        self._disturbances: list[_Disturbance] = []

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process; its output goes to a file beside the settings."""
        with self._output.open('ab') as stdout:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'verbenahall_standins.soak._linked_instance',
                str(self.links_path),
                env={**os.environ, 'VERBENAHALL_CONFIG': str(self._path)},
                stdout=stdout,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the readiness endpoint answers 200.

        Raises ``RuntimeError`` if the process ends instead.
        """
        url = f'http://{self.settings.readiness}{READY}'
        async with (
            asyncio.timeout(_READY_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while await _read_status(session, url) != HTTPStatus.OK:
                _check_running(self)
                await asyncio.sleep(_POLL_S)
        # Another process may have answered at its port.
        _check_running(self)

    async def stop(self) -> None:
        """Kill the process at the end of the soak."""
        if self.is_running:
            self._process.kill()
            await self._process.wait()

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._process.send_signal(signal_number)

    def reload(self) -> None:
        """Send SIGHUP if the process has been ready.

        Before that its settings are read anyway.
        """
        if not self._restarting:
            self.send(signal.SIGHUP)

    async def freeze(self, for_s: float) -> None:
        """Suspend the process for ``for_s`` seconds, as on a paused machine."""
        disturbance = self._add_disturbance(graceful=False)
        self.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.send(signal.SIGCONT)
        disturbance.ended_at = time.monotonic()

    async def restart(self, signal_number: signal.Signals) -> None:
        """End the process with a signal and restart it."""
        if not self.is_running or self._restarting:
            # Two concurrent starts would bind the same ports.
            return
        self._restarting = True
        graceful = signal_number is signal.SIGTERM
        disturbance = self._add_disturbance(graceful=graceful)
        if not graceful:
            self.kills.append(time.monotonic())
        self.send(signal_number)
        exit_code = await self._process.wait()
        if graceful:
            self.exit_codes.append(exit_code)
        await self.start()
        await self.wait_until_ready()
        self._restarting = False
        disturbance.ended_at = time.monotonic()

    def was_disturbed(self, start: float, end: float, status: int) -> bool:
        """Return whether a disturbance may have affected a request.

        A process that ends gracefully answers all accepted requests, so that
        only requests without an answer (``status`` 0) count as affected.
        """
        return any(
            disturbance.started_at <= end
            and start <= disturbance.ended_at + _RECOVERY_S
            for disturbance in self._disturbances
            if not disturbance.graceful or not status
        )

    def was_restarted(self, start: float, end: float) -> bool:
        """Whether the process was restarted or frozen between two times."""
        return any(
            disturbance.started_at <= end and start <= disturbance.ended_at
            for disturbance in self._disturbances
        )

    def _add_disturbance(self, *, graceful: bool) -> _Disturbance:
        disturbance = _Disturbance(time.monotonic(), graceful)
        self._disturbances.append(disturbance)
        return disturbance


def _check_running(instance: Instance) -> None:
    if not instance.is_running:
        raise RuntimeError(f'{instance.name} ended before it was ready')


async def _read_status(session: aiohttp.ClientSession, url: str) -> int:
    """Return the answer's status, 0 without one."""
    try:
        async with session.get(url) as response:
            return response.status
    except aiohttp.ClientError:
        return 0
