"""A store in memory that returns from older copies, on a simulated clock.

It takes the place of the client's session, so that a test decides when a call
is carried out and whether its answer arrives.
"""

import contextlib
import copy
import json
from base64 import b64encode

import aiohttp

from verbenahall.platform._records import Batch, encode_batch


class Clock:
    """A clock that a test advances."""

    def __init__(self):
        self.seconds = 100.0

    def __call__(self):
        return self.seconds


class _Body:
    def __init__(self, body):
        self._body = body

    async def readany(self):
        body = self._body
        self._body = b''
        return body


class _Answer:
    def __init__(self, status, table, era):
        self.status = status
        self.headers = {} if era is None else {'Store-Era': era}
        is_binary = isinstance(table, bytes)
        self.content = _Body(table if is_binary else json.dumps(table).encode())


class SimulatedStore:
    """Keyed topics with conditional appends, and what a return loses.

    ``stated_era`` replaces the era of the answers, ``None`` leaves it out.
    """

    def __init__(self):
        self.era = 1
        self.stated_era = 'own'
        self.topics = {}
        self.calls = 0
        self._delayed = []

    def take_copy(self):
        return copy.deepcopy(self.topics)

    def return_from(self, content):
        self.topics = copy.deepcopy(content)
        self.era += 1

    def newest(self, topic):
        """Return the newest content of each key, with its offset."""
        found = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            key, content = _split(record)
            found[key] = (offset, content)
        return found

    def append(self, topic, body, at=None):
        """Append the framed records; None if the condition does not hold."""
        records = self.topics.setdefault(topic, [])
        end = len(records)
        if at is not None and at != end:
            return None
        records.extend(_unframe(body))
        return end

    def carry_out_delayed(self):
        """Carry out the appends that were held up."""
        for topic, body, at in self._delayed:
            self.append(topic, body, at)
        self._delayed.clear()

    def make_session(self, fate=None):
        """Return a session; ``fate`` tells what becomes of each call.

        It is ``answered``, ``lost`` (carried out without an answer),
        ``delayed`` (carried out later, without an answer) or ``failed``.
        """
        return _Session(self, fate or _answer)

    def answer(self, path, params, body):
        """Carry out a call; return its status and answer."""
        self.calls += 1
        topic = params['topic']
        if path.endswith('log-newest'):
            rows = [
                {
                    'key': key,
                    'value': b64encode(content).decode(),
                    'offset': offset,
                }
                for key, (offset, content) in self.newest(topic).items()
            ]
            end = len(self.topics.get(topic, []))
            return 200, {'items': rows, 'hasMore': False, 'end': end}
        if path.endswith('log-read'):
            return self._read(topic, int(params['from']))
        at = params.get('at')
        offset = self.append(topic, body, None if at is None else int(at))
        if offset is None:
            return 412, {'end': len(self.topics[topic])}
        return 200, {'offset': offset, 'end': offset + 1}

    def delay(self, params, body):
        """Hold an append up."""
        at = params.get('at')
        self._delayed.append(
            (params['topic'], body, None if at is None else int(at))
        )

    def _read(self, topic, start):
        records = tuple(self.topics.get(topic, []))
        if start > len(records):
            return 410, {'first': 0}
        return 200, encode_batch(Batch(len(records), 0, records[start:]))


class _Session:
    def __init__(self, store, fate):
        self._store = store
        self._fate = fate

    @contextlib.asynccontextmanager
    async def request(self, method, url, params, data):
        fate = self._fate(method)
        if fate == 'delayed' and method == 'POST':
            self._store.delay(params, data)
        if fate in {'delayed', 'failed'}:
            raise aiohttp.ClientError(fate)
        status, table = self._store.answer(url, params, data)
        if fate == 'lost':
            raise aiohttp.ClientError(fate)
        era = self._store.stated_era
        stated = str(self._store.era) if era == 'own' else era
        yield _Answer(status, table, stated)


def _answer(_method):
    return 'answered'


def _split(record):
    start = 1 + record[0]
    return record[1:start].decode(), record[start:]


def _unframe(body):
    records = []
    while body:
        length = int.from_bytes(body[:4])
        records.append(body[4 : 4 + length])
        body = body[4 + length :]
    return records
