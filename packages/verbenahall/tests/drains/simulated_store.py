"""The store of a simulated fleet, and whom it does not answer."""

import asyncio
import base64
import contextlib
import json
import struct

#: Time to the store, one way, in seconds.
WAY_S = 0.001
#: Share of the polls that a record does not wake.
DEAF_POLLS = 0.05
FOR_EVER_S = 3600


class SimulatedStore:
    """The store: topics with long polls, and whom it does not answer.

    ``mute`` and ``refusing`` name instances whose calls get no answer, or a
    503. ``calls`` counts what arrived, ``way_s`` is the time to it.
    """

    def __init__(self, source):
        self.mute = set()
        self.refusing = set()
        self.calls = 0
        self.way_s = WAY_S
        #: Shares of the appends that are carried out without an answer, at
        #: once or seconds later.
        self.lost_appends = 0
        self.late_appends = 0
        self._source = source
        self._topics = {}
        self._grown = {}

    def put(self, topic, key, content):
        """Append a keyed record."""
        record = bytes([len(key)]) + key.encode() + content
        self._topics.setdefault(topic, []).append((key, record, content))
        self._grown.pop(topic, asyncio.Event()).set()

    async def answer(self, instance, url, params, body):
        """Return status and body, or wait for ever."""
        self.calls += 1
        await asyncio.sleep(self.way_s)
        await self._check_mute(instance)
        if instance in self.refusing:
            return 503, b''
        if url.endswith('newest'):
            return 200, self._list_newest(params['topic'])
        if url.endswith('append'):
            return await self._take_append(params, body)
        body = await self._read(params)
        if instance in self.refusing:
            return 503, b''
        await self._check_mute(instance)
        await asyncio.sleep(self.way_s)
        await self._check_mute(instance)
        return 200, body

    async def _take_append(self, params, body):
        drawn = self._source.random()
        if drawn < self.late_appends:
            delay_s = self._source.uniform(1, 9)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._append, params, body)
            await asyncio.sleep(FOR_EVER_S)
        answer = self._append(params, body)
        if drawn < self.late_appends + self.lost_appends:
            await asyncio.sleep(FOR_EVER_S)
        return answer

    def _append(self, params, body):
        topic = params['topic']
        end = len(self._topics.get(topic, ()))
        if int(params.get('at', end)) != end:
            return 412, b''
        assert len(body) == 4 + int.from_bytes(body[:4]), 'one record a call'
        key_end = 5 + body[4]
        self.put(topic, body[5:key_end].decode(), body[key_end:])
        end = len(self._topics[topic])
        answer = {'offset': end - 1, 'end': end}
        return 200, json.dumps(answer).encode()

    async def _check_mute(self, instance):
        if instance in self.mute:
            await asyncio.sleep(FOR_EVER_S)

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
            grown = self._grown.setdefault(topic, asyncio.Event())
            if self._source.random() < DEAF_POLLS:
                grown = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await grown.wait()
        framed = b''.join(
            struct.pack('>I', len(record)) + record
            for _, record, _ in records[start:]
        )
        return struct.pack('>QQ', len(records), 0) + framed
