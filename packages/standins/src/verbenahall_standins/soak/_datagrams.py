"""Loss of the datagrams between an instance and its peers."""

import asyncio
import functools
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, final


def get_loss_path(settings: Path) -> Path:
    """Return the file that holds the share of datagrams an instance loses."""
    return settings.with_suffix('.loss')


async def lose_datagrams(path: Path, share: float, for_s: float) -> None:
    """Let the instance with this file lose datagrams for some seconds."""
    path.write_text(f'{share}')
    await asyncio.sleep(for_s)
    path.unlink(missing_ok=True)


@final
class DatagramLoss:
    """Drops a share of the datagrams that an instance sends and receives.

    The share is read from a file for each datagram; without the file none is
    dropped. So a soak can change it while the instance runs.
    """

    __slots__ = ('_path', '_random')

    def __init__(self, path: Path) -> None:
        """Read the share from a file."""
        self._path = path
        self._random = random.Random(path.name)

    def wrap(self, method: Callable[..., None]) -> Any:
        """Return a method of the exchange that drops datagrams."""
        return lambda exchange, *arguments: self._pass_some(
            functools.partial(method, exchange, *arguments)
        )

    def _pass_some(self, call: Callable[[], None]) -> None:
        if self._random.random() >= self._read_share():
            call()

    def _read_share(self) -> float:
        try:
            return float(self._path.read_text() or 0)
        except FileNotFoundError:
            return 0
