"""A caller that sends requests and checks each answer for completeness."""

import asyncio
import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Sequence
from http import HTTPStatus
from typing import Final

import aiohttp
import orjson

from verbenahall import clock
from verbenahall_standins.traffic import CallerRequest

_DONE: Final = 'data: [DONE]'
_EVENT: Final = 'data: '
_TIMEOUT_S: Final = 30.0
#: Characters at the end of a wrong answer that its error shows.
_MAX_SHOWN_CHARACTERS: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request; ``error`` is empty if the answer was right."""

    kind: str
    error: str
    seconds: float


class Caller:
    """Sends concurrent requests to entry instances in turn."""

    __slots__ = ('_addresses', '_session', 'outcomes')

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: Sequence[str],
    ) -> None:
        """Use the instances' addresses round robin, as a balancer would."""
        self._session = session
        self._addresses = itertools.cycle(addresses)
        self.outcomes: list[Outcome] = []

    async def send_all(
        self, requests: Iterable[CallerRequest], concurrency: int
    ) -> None:
        """Send all requests, at most ``concurrency`` at the same time."""
        pending = iter(requests)
        senders = (self._send_each(pending) for _ in range(concurrency))
        await asyncio.gather(*senders)

    def summarise(self) -> list[str]:
        """Return a line for each kind: answered, failed, median latency."""
        by_kind: dict[str, list[Outcome]] = collections.defaultdict(list)
        for outcome in self.outcomes:
            by_kind[outcome.kind].append(outcome)
        return [_describe(kind, rows) for kind, rows in by_kind.items()]

    async def _send_each(self, pending: Iterator[CallerRequest]) -> None:
        request = next(pending, None)
        while request is not None:
            started = clock.monotonic()
            error = await self._try_send(request)
            took_s = clock.monotonic() - started
            self.outcomes.append(Outcome(request.kind, error, took_s))
            request = next(pending, None)

    async def _try_send(self, request: CallerRequest) -> str:
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await self._send(request)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return repr(error)

    async def _send(self, request: CallerRequest) -> str:
        url = f'http://{next(self._addresses)}{request.path}'
        body = orjson.dumps(request.body) if request.body else None
        headers = {**request.headers, 'Content-Type': 'application/json'}
        async with self._session.request(
            request.method,
            url,
            data=body,
            headers=headers,
        ) as answer:
            received = await answer.text()
            if answer.status != HTTPStatus.OK:
                return f'{answer.status} {received}'
            return check_answer(request, received)


def check_answer(request: CallerRequest, received: str) -> str:
    """Return how a body differs from the expected answer, or ``''``."""
    if request.expected is None:
        return ''
    found = _read_stream(received) if request.stream else _read_plain(received)
    if found == request.expected:
        return ''
    ending = received[-_MAX_SHOWN_CHARACTERS:]
    return f'unexpected answer, ending in: {ending}'


def _read_plain(received: str) -> str:
    return orjson.loads(received)['choices'][0]['text']


def _read_stream(received: str) -> str:
    """Return the text of a stream, or ``''`` without the closing event."""
    *events, last = received.strip().split('\n\n')
    if last != _DONE:
        return ''
    return ''.join(_read_event(event) for event in events)


def _read_event(event: str) -> str:
    return _read_plain(event.removeprefix(_EVENT))


def _describe(kind: str, outcomes: Sequence[Outcome]) -> str:
    failed = sum(1 for outcome in outcomes if outcome.error)
    times = sorted(outcome.seconds for outcome in outcomes)
    median_ms = round(times[len(times) // 2] * 1000)
    answered = len(outcomes) - failed
    return f'{kind}: {answered} answered, {failed} failed, p50 {median_ms} ms'
