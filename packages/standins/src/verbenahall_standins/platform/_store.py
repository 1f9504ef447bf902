"""The platform's store in memory: topics, long polls, conditional appends."""

import asyncio
import base64
import contextlib
import dataclasses
import functools
import struct
from collections.abc import Mapping
from typing import Final, final

from aiohttp import web
from aiohttp.typedefs import Handler

from verbenahall_standins.platform._serving import listen

#: Length of a record, and the offsets of a topic's end and first record.
_LENGTH: Final = struct.Struct('>I')
_BOUNDS: Final = struct.Struct('>QQ')
_MS: Final = 1000
#: Topics that the operator and the endpoints write, not the instances.
EXTERNAL_TOPICS: Final = ('keyed.op', 'keyed.servers')
#: Maximum number of keys on one page.
_PAGE_SIZE: Final = 500


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults that a test sets.

    ``down`` is the status with which every call is answered, 0 for no fault.
    ``silent`` leaves calls unanswered, ``lose_appends`` applies appends
    without answering them, ``miss_wakeups`` lets a long poll miss the records
    that are appended while it waits, ``reset`` resets each connection that a
    call arrives on. ``append_status`` is the status with which appends are
    refused, 0 for no fault. ``stated_era`` replaces the era in the answers,
    which lack it if it is empty.
    """

    down: int = 0
    reset: bool = False
    silent: bool = False
    lose_appends: bool = False
    miss_wakeups: bool = False
    stated_era: str | None = None
    append_status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TopicContent:
    """What a topic held at a time; ``newest`` is by key, with offsets."""

    first: int
    records: list[bytes]
    newest: dict[str, tuple[int, bytes]]


#: The topics of a store at a time, by name.
StoreCopy = Mapping[str, TopicContent]


@final
class StoreEntrance:
    """One address of a store, with faults of its own.

    Instances that use an entrance of their own can be refused while the store
    serves the others. ``calls`` counts the requests that arrive here.
    """

    __slots__ = ('address', 'calls', 'faults')

    def __init__(self, faults: StoreFaults) -> None:
        self.address = ''
        self.calls = 0
        self.faults = faults


@final
class _Topic:
    """One topic: its records from the offset ``first`` on.

    ``newest`` holds the offset and content of each key's newest record, also
    after old records have been deleted.
    """

    __slots__ = ('appended', 'first', 'newest', 'records', 'returned_at')

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        #: Where the topic ended when the store returned from a copy.
        self.returned_at = 0
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, records: list[bytes]) -> int:
        offset = self.end
        for number, record in enumerate(records):
            self._update_newest(offset + number, record)
        self.records.extend(records)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def is_older(self, key: str, lost: tuple[int, bytes] | None) -> bool:
        """Whether a key has an older content than was lost in a return."""
        offset, content = self.newest.get(key, (0, b''))
        return offset < self.returned_at and content != (lost or (0, b''))[1]

    def _update_newest(self, offset: int, record: bytes) -> None:
        key, content = _split(record)
        self.newest.pop(key, None)
        if content:
            self.newest[key] = (offset, content)


@final
class StoreStandIn:
    """The store on loopback; ``calls`` counts the requests by path.

    All answers state its ``era``, which rises when the store returns from an
    older copy.
    """

    def __init__(self) -> None:
        """Prepare a store without topics."""
        self.era = 1
        self.faults = StoreFaults()
        self.address = ''
        self.calls: dict[str, int] = {}
        self._topics: dict[str, _Topic] = {}
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Listen on a free port."""
        entrance = await self.open_entrance(self.faults)
        self.address = entrance.address

    async def stop(self) -> None:
        """Close the listeners."""
        for runner in self._runners:
            await runner.cleanup()

    def put(self, topic: str, key: str, content: bytes) -> int:
        """Append a keyed record, as the operator or an endpoint does."""
        encoded = key.encode()
        record = bytes([len(encoded)]) + encoded + content
        return self._get_topic(topic).append([record])

    def delete_old_records(self, topic: str) -> None:
        """Delete all records but the last one."""
        found = self._get_topic(topic)
        kept = found.records[-1:]
        found.first = found.end - len(kept)
        found.records = kept

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest content of each key."""
        kept = self._get_topic(topic).newest
        return {key: content for key, (_, content) in kept.items()}

    def take_copy(self) -> StoreCopy:
        """Return a copy of what the store holds now."""
        return {
            name: TopicContent(
                topic.first, list(topic.records), dict(topic.newest)
            )
            for name, topic in self._topics.items()
        }

    def return_from(self, copy: StoreCopy) -> None:
        """Return from a copy: reset all connections, and begin a new era.

        What was appended since is lost, and its offsets are given again.
        """
        for name, topic in self._topics.items():
            content = copy.get(name, TopicContent(0, [], {}))
            topic.first = content.first
            topic.records = list(content.records)
            topic.newest = dict(content.newest)
            topic.returned_at = topic.end
        self.era += 1
        for runner in self._runners:
            for connection in tuple(getattr(runner.server, 'connections', ())):
                if connection.transport is not None:
                    connection.transport.abort()

    def write_again(self, lost: StoreCopy) -> None:
        """Write again what the operator and the endpoints had written.

        ``lost`` is what the store held before its return. What has been written
        since the return is newer, and stays.
        """
        for name in EXTERNAL_TOPICS:
            topic = self._get_topic(name)
            known = lost.get(name, TopicContent(0, [], {})).newest
            for key in known.keys() | topic.newest.keys():
                if topic.is_older(key, known.get(key)):
                    self.put(name, key, known.get(key, (0, b''))[1])

    async def open_entrance(self, faults: StoreFaults) -> StoreEntrance:
        """Listen on another port, with faults that apply there only."""
        entrance = StoreEntrance(faults)
        inject_faults = functools.partial(self._inject_faults, entrance)
        app = web.Application(middlewares=[web.middleware(inject_faults)])
        app.router.add_post('/-/log-append', self._append)
        app.router.add_get('/-/log-read', self._read)
        app.router.add_get('/-/log-newest', self._newest)
        running = await listen(app)
        self._runners.append(running.runner)
        entrance.address = running.address
        return entrance

    async def _inject_faults(
        self,
        entrance: StoreEntrance,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        faults = entrance.faults
        entrance.calls += 1
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.reset and request.transport is not None:
            request.transport.abort()
        is_append = request.path == '/-/log-append'
        status = faults.down or (is_append and faults.append_status)
        if status:
            return web.Response(status=status)
        response = await handler(request)
        stated = faults.stated_era
        if stated != '':
            response.headers['Store-Era'] = stated or str(self.era)
        if faults.lose_appends and is_append:
            await asyncio.sleep(3600)
        return response

    async def _append(self, request: web.Request) -> web.Response:
        topic = self._get_topic(request.query['topic'])
        at = request.query.get('at')
        if at is not None and int(at) != topic.end:
            return web.json_response({'end': topic.end}, status=412)
        records = _unframe(await request.read())
        offset = topic.append(records)
        return web.json_response({'offset': offset, 'end': topic.end})

    async def _read(self, request: web.Request) -> web.Response:
        topic = self._get_topic(request.query['topic'])
        start = int(request.query['from'])
        wait_s = int(request.query.get('waitMs', '0')) / _MS
        if start >= topic.end and wait_s:
            appended = (
                asyncio.Event() if self.faults.miss_wakeups else topic.appended
            )
            # A long poll without a new record returns an empty answer.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(appended.wait(), wait_s)
        # Checked after the wait, since records may be deleted meanwhile.
        if not topic.first <= start <= topic.end:
            return web.json_response({'first': topic.first}, status=410)
        records = topic.records[start - topic.first :]
        framed = b''.join(_LENGTH.pack(len(one)) + one for one in records)
        return web.Response(body=_BOUNDS.pack(topic.end, topic.first) + framed)

    async def _newest(self, request: web.Request) -> web.Response:
        topic = self._get_topic(request.query['topic'])
        kept = sorted(topic.newest.items())
        after = request.query.get('after', '')
        later = [item for item in kept if item[0] > after]
        return web.json_response(
            {
                'items': [
                    {
                        'key': key,
                        'value': base64.b64encode(content).decode(),
                        'offset': offset,
                    }
                    for key, (offset, content) in later[:_PAGE_SIZE]
                ],
                'hasMore': len(later) > _PAGE_SIZE,
                'end': topic.end,
            },
        )

    def _get_topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


def _split(record: bytes) -> tuple[str, bytes]:
    start = 1 + record[0]
    return record[1:start].decode(), record[start:]


def _unframe(body: bytes) -> list[bytes]:
    records = []
    while body:
        length = _LENGTH.unpack_from(body)[0]
        records.append(body[_LENGTH.size : _LENGTH.size + length])
        body = body[_LENGTH.size + length :]
    return records
