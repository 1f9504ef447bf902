"""Callers of one instance, and what each of them got."""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Final, final

import aiohttp

from verbenahall_standins.platform import HOST
from verbenahall_standins.soak._checks import Record
from verbenahall_standins.soak._instances import Instance

_PREFIX: Final = 'X-Verbenahall-'
_WAIT_S: Final = 2.0
_WAIT_MS: Final = '2000'
#: After this long a caller has surely no answer, in seconds.
_PATIENCE_S: Final = 6.0
_PAUSE_S: Final = 0.1
#: A caller's answer was cut after its head.
CUT: Final = -1
#: What is asked in turn: method, path, whether it may run more than once.
_ASKED: Final = (
    ('GET', '/archive/1', True),
    ('POST', '/proof/1', False),
    ('POST', '/summary/1', True),
    ('POST', '/blurb/1', False),
)
_EVENTS: Final = tuple(f'id: {number}' for number in range(1, 6))


@final
class Callers:
    """Asks one instance again and again over connections that stay open."""

    def __init__(
        self,
        instance: Instance,
        numbers: 'itertools.count[int]',
        read_version: Callable[[], int],
        read_key: Callable[[], str],
    ) -> None:
        """Ask ``instance``; ``read_version`` tells the newest manifest's.

        ``read_key`` returns the API key that is in force.
        """
        self.records: list[Record] = []
        self._instance = instance
        self._numbers = numbers
        self._read_version = read_version
        self._read_key = read_key
        self._session: aiohttp.ClientSession | None = None
        self._open: set[asyncio.Task[Record]] = set()

    async def start(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession()
        # A call that the library sends again by itself would look as if the
        # instance had run it twice.
        self._session._retry_connection = False  # noqa: SLF001, WPS437

    async def run(self) -> None:
        """Ask until cancelled."""
        for method, path, repeatable in itertools.cycle(_ASKED):
            self._spawn(method, path, repeatable=repeatable)
            version = self._read_version()
            if version > 1:
                self._spawn('GET', f'/v{version}/1', version=version)
            await asyncio.sleep(_PAUSE_S)

    async def stop(self) -> None:
        """Wait for what is open, and close the session."""
        await asyncio.gather(*self._open)
        if self._session is not None:
            await self._session.close()

    async def ask_with(self, key: str) -> Record:
        """Ask once with a key."""
        return await self._ask('GET', '/archive/1', key=key)

    async def ask_all(self) -> list[Record]:
        """Ask once for everything that the instance serves."""
        records = [
            await self._ask(method, path, repeatable=repeatable)
            for method, path, repeatable in _ASKED
        ]
        version = self._read_version()
        if version > 1:
            path = f'/v{version}/1'
            records.append(await self._ask('GET', path, version=version))
        return records

    def _spawn(
        self,
        method: str,
        path: str,
        *,
        repeatable: bool = True,
        version: int = 0,
    ) -> None:
        asking = self._ask(method, path, repeatable=repeatable, version=version)
        task = asyncio.create_task(asking)
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _ask(
        self,
        method: str,
        path: str,
        *,
        repeatable: bool = True,
        version: int = 0,
        key: str = '',
    ) -> Record:
        identity = f'{next(self._numbers):016x}'
        sent_at = time.monotonic()
        key = key or self._read_key()
        status, whole = await self._exchange(method, path, identity, key)
        ended_at = time.monotonic()
        record = Record(
            identity=identity,
            instance=self._instance.name,
            sent_at=sent_at,
            ended_at=ended_at,
            wait_s=_WAIT_S,
            status=status,
            whole=whole,
            repeatable=repeatable,
            excused=self._instance.was_disturbed(sent_at, ended_at, status),
            version=version,
        )
        self.records.append(record)
        return record

    async def _exchange(
        self,
        method: str,
        path: str,
        identity: str,
        key: str,
    ) -> tuple[int, bool]:
        url = f'http://{self._instance.settings.callers}{path}'
        headers = {
            'Host': HOST,
            f'{_PREFIX}Request-Id': identity,
            f'{_PREFIX}Deadline-Ms': '2000',
            f'{_PREFIX}Model': 'm',
            f'{_PREFIX}Token-Count': '1000,50',
            f'{_PREFIX}Prompt-Prefix': 'aa:800,bb:200',
            f'{_PREFIX}Key': key,
            f'{_PREFIX}Tenant': 'council',
        }
        status = 0
        try:
            async with asyncio.timeout(_PATIENCE_S):
                async with self._session.request(
                    method,
                    url,
                    headers=headers,
                ) as response:
                    status = CUT
                    body = await response.text()
                    return response.status, _is_whole(response.headers, body)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return status, False


def _is_whole(headers: object, body: str) -> bool:
    if f'{_PREFIX}Server-Stamp' not in headers:
        return False
    if body.startswith('id: '):
        found = [line for line in body.splitlines() if line.startswith('id: ')]
        return tuple(found) == _EVENTS
    return body.startswith('page from ')
