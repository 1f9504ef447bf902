"""The store of a simulated fleet, with faults for single instances."""

import asyncio
import base64
import contextlib
import json
import struct

#: One-way latency to the store, in seconds.
ONE_WAY_S = 0.001
#: Share of the long polls that miss the record appended while they wait.
MISSED_WAKEUP_SHARE = 0.05
#: Sleep of a call that gets no answer, in seconds; longer than any test.
NEVER_S = 3600


class SimulatedStore:
    """The store: topics with long polls, and faults for single instances.

    Calls of ``ignored_instances`` get no answer, those of
    ``refused_instances`` a 503. ``call_count`` counts the calls that arrived,
    ``one_way_s`` is the one-way latency in seconds.
    """

    def __init__(self, rng):
        self.ignored_instances = set()
        self.refused_instances = set()
        self.call_count = 0
        self.one_way_s = ONE_WAY_S
        #: Shares of the appends that are stored but get no answer: stored at
        #: once, or seconds later.
        self.lost_append_share = 0
        self.late_append_share = 0
        self._rng = rng
        self._topics = {}
        self._append_events = {}

    def put(self, topic, key, content):
        """Append a keyed record."""
        record = bytes([len(key)]) + key.encode() + content
        self._topics.setdefault(topic, []).append((key, record, content))
        self._append_events.pop(topic, asyncio.Event()).set()

    async def answer(self, instance, url, params, body):
        """Return the status and the body, or never return."""
        self.call_count += 1
        await asyncio.sleep(self.one_way_s)
        await self._wait_if_ignored(instance)
        if instance in self.refused_instances:
            return 503, b''
        if url.endswith('newest'):
            return 200, self._list_newest(params['topic'])
        if url.endswith('append'):
            return await self._handle_append(params, body)
        body = await self._read(params)
        if instance in self.refused_instances:
            return 503, b''
        await self._wait_if_ignored(instance)
        await asyncio.sleep(self.one_way_s)
        await self._wait_if_ignored(instance)
        return 200, body

    async def _handle_append(self, params, body):
        drawn = self._rng.random()
        if drawn < self.late_append_share:
            delay_s = self._rng.uniform(1, 9)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._append, params, body)
            await asyncio.sleep(NEVER_S)
        answer = self._append(params, body)
        if drawn < self.late_append_share + self.lost_append_share:
            await asyncio.sleep(NEVER_S)
        return answer

    def _append(self, params, body):
        topic = params['topic']
        end = len(self._topics.get(topic, ()))
        if int(params.get('at', end)) != end:
            return 412, b''
        assert len(body) == 4 + int.from_bytes(body[:4]), (
            'an append holds one record'
        )
        key_end = 5 + body[4]
        self.put(topic, body[5:key_end].decode(), body[key_end:])
        end = len(self._topics[topic])
        answer = {'offset': end - 1, 'end': end}
        return 200, json.dumps(answer).encode()

    async def _wait_if_ignored(self, instance):
        if instance in self.ignored_instances:
            await asyncio.sleep(NEVER_S)

    def _list_newest(self, topic):
        newest = {}
        records = self._topics.get(topic, ())
        for offset, (key, _, content) in enumerate(records):
            newest[key] = {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
        items = [item for item in newest.values() if item['value']]
        end = len(records)
        table = {'items': items, 'hasMore': False, 'end': end}
        return json.dumps(table).encode()

    async def _read(self, params):
        topic, start = params['topic'], int(params['from'])
        records = self._topics[topic]
        wait_s = int(params['waitMs']) / 1000
        if start >= len(records) and wait_s:
            appended = self._append_events.setdefault(topic, asyncio.Event())
            if self._rng.random() < MISSED_WAKEUP_SHARE:
                appended = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await appended.wait()
        framed = b''.join(
            struct.pack('>I', len(record)) + record
            for _, record, _ in records[start:]
        )
        return struct.pack('>QQ', len(records), 0) + framed
