"""What a process holds: memory, unread bytes in the kernel, descriptors."""

import asyncio
import contextlib
import dataclasses
import os
import re
from collections.abc import Collection, Iterator
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

_PEAK: Final = re.compile(r'VmHWM:\s+(\d+) kB')
_RESIDENT: Final = re.compile(r'VmRSS:\s+(\d+) kB')
_BYTES_IN_KB: Final = 1024
_SAMPLE_S: Final = 0.05
_HEX: Final = 16
_ESTABLISHED: Final = '01'


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """The most that a process held: bytes, and descriptors."""

    memory_bytes: int
    descriptors: int


@final
class UsageSampler:
    """Samples a process on this machine until the context is left.

    Memory is the resident memory and what lies unread or unsent in the kernel
    on connections to its ports::

        async with UsageSampler(pid, ports={8080}) as sampler:
            ...
        print(sampler.usage)
    """

    def __init__(self, pid: int, ports: Collection[int]) -> None:
        """Prepare; nothing is sampled yet."""
        self.usage = Usage(0, 0)
        self._folder = Path(f'/proc/{pid}')
        self._ports = frozenset(ports)
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start to sample."""
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Take the last sample."""
        if self._task is not None:
            self._task.cancel()
        self.sample()

    def sample(self) -> None:
        """Take a sample now."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            status = (self._folder / 'status').read_text()
            resident = _read_bytes(_RESIDENT, status)
            held = resident + sum(self._list_queued())
            self.usage = Usage(
                max(self.usage.memory_bytes, held, _read_bytes(_PEAK, status)),
                max(
                    self.usage.descriptors,
                    len(os.listdir(self._folder / 'fd')),
                ),
            )

    async def _run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_S)

    def _list_queued(self) -> Iterator[int]:
        """List the bytes in the kernel's queues of each connection."""
        table = (self._folder / 'net/tcp').read_text().splitlines()
        for line in table[1:]:
            fields = line.split()
            port = int(fields[1].rpartition(':')[2], _HEX)
            if port in self._ports and fields[3] == _ESTABLISHED:
                unsent, _, unread = fields[4].partition(':')
                yield int(unsent, _HEX) + int(unread, _HEX)


def _read_bytes(pattern: re.Pattern[str], status: str) -> int:
    found = pattern.search(status)
    # A process that has ended has no memory.
    return int(found.group(1)) * _BYTES_IN_KB if found else 0
