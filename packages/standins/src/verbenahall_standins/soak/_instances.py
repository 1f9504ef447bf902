"""The entry instances as processes that are stopped, frozen and restarted."""

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

#: Calls that end so long after a disturbance may still suffer from it: what
#: waited in the meantime is worked off, in seconds.
_AFTER_S: Final = 1.0
#: Bound on a start, in seconds; the store may be away for three of them.
_READY_S: Final = 30.0
_LOOK_S: Final = 0.05


@dataclasses.dataclass(slots=True)
class _Window:
    """When a process cannot be relied on; ``gently`` by new callers only."""

    began: float
    gently: bool
    until: float = float('inf')


@final
class Instance:
    """One gateway process, started again under the same settings."""

    def __init__(self, name: str, path: Path) -> None:
        """Prepare to start it with the settings at ``path``."""
        self.name = name
        self.settings: ProcessSettings = read_settings(path).unwrap()
        self.exits: list[int] = []
        self._path = path
        self._output = path.with_suffix('.log')
        self._process: asyncio.subprocess.Process | None = None
        self._restarting = False
        self._windows: list[_Window] = []

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process; its output is kept beside its settings."""
        with self._output.open('ab') as stdout:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'verbenahall.gateway',
                env={**os.environ, 'VERBENAHALL_CONFIG': str(self._path)},
                stdout=stdout,
            )

    async def wait_ready(self) -> None:
        """Wait until the balancer would send callers here."""
        url = f'http://{self.settings.readiness}{READY}'
        async with (
            asyncio.timeout(_READY_S),
            aiohttp.ClientSession() as session,
        ):
            while await _read_status(session, url) != HTTPStatus.OK:
                await asyncio.sleep(_LOOK_S)

    async def stop(self) -> None:
        """Kill the process at the soak's end."""
        if self.runs:
            self._process.kill()
            await self._process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process is being started again."""
        if self.runs:
            self._process.send_signal(number)

    async def freeze(self, for_s: float) -> None:
        """Stop the process for a while, as a suspended machine is."""
        window = self._open_window(gently=False)
        self.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.send(signal.SIGCONT)
        window.until = time.monotonic()

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal and start it anew."""
        if not self.runs or self._restarting:
            # Two starts would fight for the ports.
            return
        self._restarting = True
        gently = number is signal.SIGTERM
        window = self._open_window(gently=gently)
        self.send(number)
        exit_code = await self._process.wait()
        if gently:
            self.exits.append(exit_code)
        await self.start()
        await self.wait_ready()
        self._restarting = False
        window.until = time.monotonic()

    def was_disturbed(self, start: float, end: float, status: int) -> bool:
        """Tell whether a call may have suffered from what was done here.

        A process that ends gently answers all that it has taken in.
        """
        return any(
            window.began <= end and start <= window.until + _AFTER_S
            for window in self._windows
            if not window.gently or not status
        )

    def _open_window(self, *, gently: bool) -> _Window:
        window = _Window(time.monotonic(), gently)
        self._windows.append(window)
        return window


async def _read_status(session: aiohttp.ClientSession, url: str) -> int:
    """Return the answer's status, 0 without one."""
    try:
        async with session.get(url) as response:
            return response.status
    except aiohttp.ClientError:
        return 0
