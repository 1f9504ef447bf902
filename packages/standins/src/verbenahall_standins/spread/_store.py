"""The platform's store in a simulated network."""

import asyncio
import base64
import contextlib
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, final

import aiohttp

from verbenahall import wire
from verbenahall.platform import (
    Batch,
    KeyedRecord,
    encode_batch,
    encode_keyed,
)
from verbenahall_standins.spread._network import Answer, Network, Refusal

_MS: Final = 1000
#: Time that the store takes for each call, in seconds.
_ANSWER_S: Final = 0.004
_FOREVER_S: Final = 3600
_ERA: Final = MappingProxyType({'Store-Era': '1'})


@final
class SimulatedStore:
    """Topics of keyed records; ``calls`` counts the calls that it answers."""

    __slots__ = ('calls', '_appended', '_network', '_topics')

    def __init__(self, network: Network, address: str, megabits: float) -> None:
        """Serve at a new host of the network."""
        self.calls = 0
        self._appended = asyncio.Event()
        self._network = network
        self._topics: dict[str, list[KeyedRecord]] = {}
        network.add_host(address, megabits).handle_call = self._handle

    def append(self, topic: str, key: str, content: bytes) -> None:
        """Append a record; the store confirms it at once."""
        records = self._topics.setdefault(topic, [])
        records.append(KeyedRecord(key, content))
        self._appended.set()
        self._appended = asyncio.Event()

    @contextlib.asynccontextmanager
    async def _handle(
        self, caller: str, path: str, query: Mapping[str, str]
    ) -> AsyncIterator[Answer]:
        match self._network.hosts[caller].refusal:
            case Refusal.STATUS:
                yield Answer(HTTPStatus.SERVICE_UNAVAILABLE)
                return
            case Refusal.RESET:
                raise aiohttp.ClientOSError('reset')
            case Refusal.SILENT:
                await asyncio.sleep(_FOREVER_S)
        self.calls += 1
        await asyncio.sleep(_ANSWER_S)
        if path.endswith('newest'):
            yield self._read_newest(query['topic'])
        else:
            yield await self._read(query)

    async def _read(self, query: Mapping[str, str]) -> Answer:
        topic, start = query['topic'], int(query['from'])
        wait_s = int(query['waitMs']) / _MS
        await self._wait(topic, start, wait_s)
        records = self._topics.get(topic, [])
        encoded = tuple(encode_keyed(one) for one in records[start:])
        body = encode_batch(Batch(len(records), 0, encoded))
        return Answer(HTTPStatus.OK, body, _ERA)

    async def _wait(self, topic: str, start: int, within_s: float) -> None:
        """Wait for a record at an offset, for ``within_s`` seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while len(self._topics.get(topic, ())) <= start:
                    await self._appended.wait()

    def _read_newest(self, topic: str) -> Answer:
        records = self._topics.get(topic, [])
        newest = {one.key: offset for offset, one in enumerate(records)}
        table = {
            'items': [
                _make_row(records[offset], offset) for offset in newest.values()
            ],
            'hasMore': False,
            'end': len(records),
        }
        return Answer(HTTPStatus.OK, wire.encode(table), _ERA)


def _make_row(record: KeyedRecord, offset: int) -> Mapping[str, Any]:
    content = base64.b64encode(record.content).decode()
    return {'key': record.key, 'value': content, 'offset': offset}
