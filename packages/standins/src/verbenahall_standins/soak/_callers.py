"""Callers of one instance, and records of their requests."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Callable, Mapping
from typing import Final, Protocol, final

import aiohttp

from verbenahall_standins.platform import HOST, Site
from verbenahall_standins.soak._records import Record
from verbenahall_standins.soak._instances import Instance
from verbenahall_standins.soak._streams import (
    StreamAttempt,
    count_serving,
    read_events,
)

_PREFIX: Final = 'X-Verbenahall-'
_REQUEST_ID: Final = f'{_PREFIX}Request-Id'
#: Deadlines of requests, each for one round of ``_REQUESTS``, in seconds.
_DEADLINE_S: Final = 2.0
_DEADLINES_S: Final = (_DEADLINE_S, 4.0)
#: Time without an event after which a caller leaves a stream, in seconds.
_ABANDON_S: Final = 2.0
#: Idle time after which a caller does not use a connection again, in seconds:
#: four fifths of the shortest limit of the manifests.
_KEEPALIVE_S: Final = 2.0

#: Timeout of a caller, in seconds; far beyond the request's deadline.
_TIMEOUT_S: Final = 6.0
_MS_IN_S: Final = 1000
_PAUSE_S: Final = 0.1
#: Path of the streams that may be taken up, the attempts at one of them, and
#: the pause before the next one in seconds.
_STREAM_PATH: Final = '/summary/1'
_MAX_ATTEMPTS: Final = 3
_RETRY_S: Final = 0.05
_LAST_EVENT: Final = 5
_GOOD: Final = 200
#: Status of an answer that broke off after its head.
TRUNCATED: Final = -1
#: Status of a stream that its caller left after a time without an event.
ABANDONED: Final = -2
#: Subjects of the model requests, each in turn: with one request of each route
#: in 0.4 s, a subject is asked for every 2.4 s.
_SUBJECTS: Final = tuple(f'5{number}' for number in range(6))
#: Paths of model requests, which have a subject.
_MODEL_PATHS: Final = frozenset(('/summary/1', '/blurb/1'))
#: Requests sent in turn: method, path, whether they may run repeatedly.
_REQUESTS: Final = (
    ('GET', '/archive/1', True),
    ('POST', '/proof/1', False),
    ('POST', '/summary/1', True),
    ('POST', '/blurb/1', False),
)
#: Requests of a caller that sends one after the other on one connection.
_KEPT_REQUESTS: Final = _REQUESTS[::2]
#: Path of the route that is there in some manifests only.
_SPARE_PATH: Final = '/spare/1'
_EVENTS: Final = tuple(f'id: {number}' for number in range(1, 6))


@final
class Callers:
    """Sends requests to one instance over persistent connections."""

    def __init__(
        self,
        instance: Instance,
        numbers: 'itertools.count[int]',
        get_version: Callable[[], int],
        get_key: Callable[[], str],
        fleet: 'Fleet',
    ) -> None:
        """Send to ``instance``, with request ids from ``numbers``.

        ``get_version`` returns the version of the newest manifest, ``get_key``
        the API key that is in force. Streams that break are taken up at other
        instances of ``fleet``.
        """
        self.records: list[Record] = []
        self.streams: list[StreamAttempt] = []
        #: The instance of each request with a part that crashes engines.
        self.crashing_from: dict[str, str] = {}
        self._fleet = fleet
        self._instance = instance
        self._numbers = numbers
        self._get_version = get_version
        self._get_key = get_key
        self._session: aiohttp.ClientSession | None = None
        self._kept_session: aiohttp.ClientSession | None = None
        self._open_requests: set[asyncio.Task[Record]] = set()
        self._subjects = {
            path: itertools.cycle(_SUBJECTS) for path in _MODEL_PATHS
        }

    async def start(self) -> None:
        """Open the session."""
        self._session = _open_session()
        self._kept_session = _open_session(limit=1)

    async def run(self) -> None:
        """Send requests until cancelled."""
        kinds = itertools.product(_DEADLINES_S, _REQUESTS)
        for wait_s, (method, path, repeatable) in itertools.cycle(kinds):
            self._start_request(
                method, path, repeatable=repeatable, wait_s=wait_s
            )
            if path == _STREAM_PATH:
                self._start_request('GET', _SPARE_PATH, wait_s=wait_s)
            version = self._get_version()
            if version > 1:
                self._start_request('GET', f'/v{version}/1', version=version)
            await asyncio.sleep(_PAUSE_S)

    async def run_kept(self) -> None:
        """Send one request after the other on one connection.

        The connection is in use until the instance closes it.
        """
        for method, path, repeatable in itertools.cycle(_KEPT_REQUESTS):
            sending = self._start_request(
                method,
                path,
                repeatable=repeatable,
                session=self._kept_session,
            )
            record = await asyncio.shield(sending)
            await asyncio.sleep(0 if record.complete else _PAUSE_S)

    async def stop(self) -> None:
        """Wait for open requests and close the sessions."""
        await asyncio.gather(*self._open_requests)
        for session in (self._session, self._kept_session):
            if session is not None:
                await session.close()

    async def send_with_key(self, key: str) -> Record:
        """Send one request with a key."""
        return await self._send('GET', '/archive/1', key=key)

    async def send_crashing(self, part: str) -> None:
        """Send a request with a part that crashes engines; none is equal."""
        request_id = f'{next(self._numbers):016x}'
        headers = {
            **self._make_headers(request_id, self._get_key(), ''),
            f'{_PREFIX}Prompt-Prefix': (
                f'{_SUBJECTS[0]}:300,{part}:200,own{request_id}:500'
            ),
        }
        self.crashing_from[request_id] = self._instance.name
        await self._exchange('POST', '/summary/1', headers, self._instance)

    async def send_spending(self) -> None:
        """Send a stream that engines break off, without a record."""
        request_id = f'{next(self._numbers):016x}'
        headers = self._make_headers(request_id, self._get_key(), '')
        await self._exchange('POST', _STREAM_PATH, headers, self._instance)

    async def send_all(self) -> list[Record]:
        """Send one request by each route that the instance serves."""
        records = [
            await self._send(method, path, repeatable=repeatable)
            for method, path, repeatable in _REQUESTS
        ]
        version = self._get_version()
        if version > 1:
            path = f'/v{version}/1'
            records.append(await self._send('GET', path, version=version))
        return records

    def _start_request(
        self,
        method: str,
        path: str,
        *,
        repeatable: bool = True,
        version: int = 0,
        wait_s: float = _DEADLINE_S,
        session: aiohttp.ClientSession | None = None,
    ) -> asyncio.Task[Record]:
        sending = self._send(
            method,
            path,
            repeatable=repeatable,
            version=version,
            wait_s=wait_s,
            session=session,
        )
        task = asyncio.create_task(sending)
        self._open_requests.add(task)
        task.add_done_callback(self._open_requests.discard)
        return task

    async def _send(
        self,
        method: str,
        path: str,
        *,
        repeatable: bool = True,
        version: int = 0,
        key: str = '',
        wait_s: float = _DEADLINE_S,
        session: aiohttp.ClientSession | None = None,
    ) -> Record:
        request_id = f'{next(self._numbers):016x}'
        sent_at = time.monotonic()
        key = key or self._get_key()
        subject = next(self._subjects[path]) if path in _MODEL_PATHS else ''
        headers = self._make_headers(request_id, key, subject, wait_s)
        answer = await self._exchange(
            method, path, headers, self._instance, session
        )
        ended_at = time.monotonic()
        if path == _STREAM_PATH:
            self._take_up_broken(
                StreamAttempt(
                    request_id,
                    request_id,
                    self._instance.name,
                    sent_at,
                    answer.status,
                    0,
                    answer.last_event,
                    answer.versions,
                )
            )
        record = Record(
            request_id=request_id,
            instance=self._instance.name,
            sent_at=sent_at,
            ended_at=ended_at,
            wait_s=wait_s,
            status=answer.status,
            complete=answer.complete,
            repeatable=repeatable,
            disturbed=self._instance.was_disturbed(
                sent_at, ended_at, answer.status
            ),
            version=version,
            path=path,
            subject=subject,
            stamp=answer.stamp,
            optional=path == _SPARE_PATH,
            killed=self._instance.was_disturbed(sent_at, ended_at, _GOOD),
        )
        self.records.append(record)
        return record

    def _take_up_broken(self, begun: StreamAttempt) -> None:
        """Record an attempt; take its stream up if it has broken off."""
        self.streams.append(begun)
        if begun.has_events and begun.last_event < _LAST_EVENT:
            task = asyncio.create_task(self._take_up(begun))
            self._open_requests.add(task)
            task.add_done_callback(self._open_requests.discard)

    async def _take_up(self, begun: StreamAttempt) -> None:
        """Take a stream up at other instances until it is complete."""
        last_event = begun.last_event
        others = [
            one for one in self._fleet.instances if one is not self._instance
        ]
        for instance in itertools.islice(
            itertools.cycle(others), _MAX_ATTEMPTS
        ):
            await asyncio.sleep(_RETRY_S)
            request_id = f'{next(self._numbers):016x}'
            sent_at = time.monotonic()
            serving = count_serving(
                self._fleet.site.engines, min(begun.versions)
            )
            answer = await self._exchange(
                'POST',
                _STREAM_PATH,
                {
                    **self._make_headers(request_id, self._get_key(), ''),
                    'Resumes': begun.first_id,
                    'Last-Event-Id': str(last_event),
                },
                instance,
            )
            self.streams.append(
                StreamAttempt(
                    begun.first_id,
                    request_id,
                    instance.name,
                    sent_at,
                    answer.status,
                    last_event,
                    answer.last_event,
                    answer.versions,
                    serving,
                )
            )
            last_event = max(last_event, answer.last_event)
            if last_event >= _LAST_EVENT:
                return

    def _make_headers(
        self,
        request_id: str,
        key: str,
        subject: str,
        wait_s: float = _DEADLINE_S,
    ) -> Mapping[str, str]:
        return {
            'Host': HOST,
            _REQUEST_ID: request_id,
            f'{_PREFIX}Deadline-Ms': f'{wait_s * _MS_IN_S:.0f}',
            f'{_PREFIX}Model': 'm',
            f'{_PREFIX}Token-Count': '1000,50',
            f'{_PREFIX}Prompt-Prefix': f'{subject or "aa"}:800,bb:200',
            f'{_PREFIX}Key': key,
            f'{_PREFIX}Tenant': 'council',
        }

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        instance: Instance,
        session: aiohttp.ClientSession | None = None,
    ) -> '_Answer':
        url = f'http://{instance.settings.callers}{path}'
        status = 0
        received = bytearray()
        idle_s = _ABANDON_S if path in _MODEL_PATHS else _TIMEOUT_S
        try:
            async with (
                asyncio.timeout(_TIMEOUT_S),
                asyncio.timeout(idle_s) as idle,
            ):
                async with (session or self._session).request(
                    method,
                    url,
                    headers=headers,
                    data=_make_body(path, headers),
                ) as response:
                    status = TRUNCATED
                    await _read_into(response, received, idle, idle_s)
                    body = received.decode()
                    return _Answer(
                        response.status,
                        _is_complete(response.headers, body),
                        response.headers.get(f'{_PREFIX}Server-Stamp', ''),
                        *read_events(body),
                    )
        except TimeoutError:
            status = ABANDONED if path in _MODEL_PATHS else status
            return _Answer(status, False, '', *read_events(received.decode()))
        except (aiohttp.ClientError, OSError):
            return _Answer(status, False, '', *read_events(received.decode()))


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """What a caller got; the fields are those of ``Record``."""

    status: int
    complete: bool = False
    stamp: str = ''
    last_event: int = 0
    versions: frozenset[str] = frozenset()


class Fleet(Protocol):
    """The instances, and the stand-ins behind them."""

    instances: list[Instance]
    site: Site


def _make_body(path: str, headers: Mapping[str, str]) -> str | None:
    """Return the body of a request; no two prompts are equal."""
    if path in _MODEL_PATHS:
        return f'prompt of {headers[_REQUEST_ID]}'
    return None


async def _read_into(
    response: aiohttp.ClientResponse,
    received: bytearray,
    idle: asyncio.Timeout,
    idle_s: float,
) -> None:
    """Read a body; what came before a failure is kept.

    Each piece moves the end of ``idle`` to ``idle_s`` seconds from then.
    """
    async for piece in response.content.iter_any():
        received.extend(piece)
        idle.reschedule(asyncio.get_running_loop().time() + idle_s)


def _open_session(limit: int = 100) -> aiohttp.ClientSession:
    """Open a session with so many connections at most."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=limit, keepalive_timeout=_KEEPALIVE_S
        )
    )
    # A request that aiohttp repeats by itself would count as one that the
    # instance ran twice.
    session._retry_connection = False  # noqa: SLF001, WPS437
    return session


def _is_complete(headers: object, body: str) -> bool:
    if f'{_PREFIX}Server-Stamp' not in headers:
        return False
    if body.startswith('id: '):
        event_ids = [
            line for line in body.splitlines() if line.startswith('id: ')
        ]
        return tuple(event_ids) == _EVENTS
    return body.startswith('page from ')
