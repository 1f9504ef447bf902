"""Load generator that repeats one request on keep-alive connections.

``python -m verbenahall_standins.load --address IP:port`` prints its results as
one line of JSON. It sends prepared bytes and only searches for the end of each
answer, so that the tool itself uses little CPU time.
"""

import argparse
import asyncio
import dataclasses
import functools
import itertools
import sys
from typing import Final, cast

import uvloop

from verbenahall import clock, wire

_HEAD_END: Final = b'\r\n\r\n'
_LAST_CHUNK: Final = b'0\r\n\r\n'
_LENGTH: Final = b'content-length:'
_EVENT: Final = b'data: {'
_OK: Final = b'HTTP/1.1 200'
#: Percentiles of the latency.
_MEDIAN: Final = 50
_TAIL: Final = 99
_PERCENT: Final = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Totals of one run, and latency percentiles in milliseconds."""

    seconds: float
    answers: int
    failures: int
    chunks: int
    p50_ms: float
    p99_ms: float


class Connection(asyncio.Protocol):
    """Sends the next request as soon as an answer is complete."""

    def __init__(self, request: bytes, ends_at: float) -> None:
        """Repeat until a monotonic time; ``times_s`` holds the latencies."""
        self.times_s: list[float] = []
        self.chunks = 0
        self.failures = 0
        self.ended = asyncio.get_running_loop().create_future()
        self._request = request
        self._ends_at = ends_at
        self._received = bytearray()
        self._sent_at: float = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self._transport = cast(asyncio.Transport, transport)
        self._send()

    def data_received(self, received: bytes) -> None:
        """Collect bytes until the answer is complete."""
        self._received += received
        if _is_complete(self._received):
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Count an open request as failed, unless the run has ended."""
        if not self.ended.done():
            self.failures += 1
            self.ended.set_result(None)

    def _send(self) -> None:
        self._received.clear()
        self._sent_at = clock.monotonic()
        if self._transport is not None:
            self._transport.write(self._request)

    def _finish(self) -> None:
        now = clock.monotonic()
        self.times_s.append(now - self._sent_at)
        self.chunks += self._received.count(_EVENT)
        self.failures += not self._received.startswith(_OK)
        if now < self._ends_at:
            self._send()
        elif self._transport is not None:
            self.ended.set_result(None)
            self._transport.close()


def _is_complete(received: bytearray) -> bool:
    head_end = received.find(_HEAD_END)
    if head_end < 0:
        return False
    head = received[:head_end].lower()
    _, separator, rest = head.partition(_LENGTH)
    if not separator:
        return received.endswith(_LAST_CHUNK)
    length, _, _ = rest.partition(b'\r\n')
    return len(received) >= head_end + len(_HEAD_END) + int(length)


def build_request(path: str, body: bytes, headers: str = '') -> bytes:
    """Return the bytes of a POST; each of ``headers`` ends with CRLF."""
    head = (
        f'POST {path} HTTP/1.1\r\nHost: load\r\n{headers}'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def measure(
    address: str,
    request: bytes,
    connections: int,
    seconds: float,
) -> LoadResult:
    """Send requests for a time on a number of connections."""
    host, _, port = address.partition(':')
    loop = asyncio.get_running_loop()
    started = clock.monotonic()
    ends_at = started + seconds
    open_one = functools.partial(
        loop.create_connection,
        functools.partial(Connection, request, ends_at),
        host,
        int(port),
    )
    pairs = await asyncio.gather(*(open_one() for _ in range(connections)))
    protocols = [connection for _, connection in pairs]
    await asyncio.gather(*(connection.ended for connection in protocols))
    return _summarise(protocols, clock.monotonic() - started)


def _summarise(protocols: list[Connection], seconds: float) -> LoadResult:
    times_by_connection = (each.times_s for each in protocols)
    times = sorted(itertools.chain.from_iterable(times_by_connection)) or [0]
    return LoadResult(
        seconds=seconds,
        answers=len(times),
        failures=sum(each.failures for each in protocols),
        chunks=sum(each.chunks for each in protocols),
        p50_ms=percentile_ms(times, _MEDIAN),
        p99_ms=percentile_ms(times, _TAIL),
    )


def percentile_ms(ordered: list[float], percent: int) -> float:
    """Return a percentile, in milliseconds, of sorted times in seconds."""
    index = len(ordered) * percent // _PERCENT
    return ordered[min(len(ordered) - 1, index)] * 1000


def main() -> None:
    """Run the load generator and print its results."""
    parser = argparse.ArgumentParser(description='Load generator')
    parser.add_argument('--address', required=True)
    parser.add_argument('--connections', type=int, default=8)
    parser.add_argument('--seconds', type=float, default=3)
    parser.add_argument('--path', default='/v1/completions')
    parser.add_argument('--model', default='draft')
    parser.add_argument('--chunks', type=int, default=0)
    options = parser.parse_args()
    body = {
        'model': options.model,
        'prompt': 'Does this caption fit?',
        'max_tokens': options.chunks or 1,
        'stream': bool(options.chunks),
    }
    request = build_request(options.path, wire.encode(body))
    measured = uvloop.run(
        measure(
            options.address,
            request,
            options.connections,
            options.seconds,
        ),
    )
    sys.stdout.write(wire.encode(measured).decode())
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
