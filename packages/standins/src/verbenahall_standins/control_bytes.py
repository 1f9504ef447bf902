"""Heartbeat traffic per instance, measured over loopback in one process.

``python -m verbenahall_standins.control_bytes --instances 9 50 200`` measures
fleets of these sizes and prints a line for each. The count
includes HTTP headers but not those of TCP and IP.
"""

import argparse
import asyncio
import resource
import sys
from collections.abc import Iterable, Mapping
from typing import Any, Final

from aiohttp import ClientSession, TCPConnector, TraceConfig, web

from verbenahall import clock, journal
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    InstanceStatus,
    PeerExchange,
    apply_list,
)

_LOOPBACK: Final = '127.0.0.1'
_WARM_UP_S: Final = 2.0
#: Bytes of ``HTTP/1.1 200 OK`` with its line end; also used for the request
#: line, in addition to method and path.
_STATUS_LINE_BYTES: Final = 17
_EMPTY_LINE_BYTES: Final = 2
_KEEP_ALIVE_S: Final = 15
_LINE: Final = (
    '{0} instances: {1:.0f} B/s each (sent and received), '
    '{2:.2f} heartbeats/s sent each, {3:.2%} of a core each\n'
)
#: Log position in the heartbeats: a typical number of digits.
_POSITION: Final = 123_456


class TrafficMeter:
    """Counts heartbeats and the bytes of their requests and responses."""

    __slots__ = ('byte_count', 'heartbeats')

    def __init__(self) -> None:
        """Start with zero counts."""
        self.byte_count = 0
        self.heartbeats = 0

    def build_trace(self) -> TraceConfig:
        """Return the hooks by which a client session is counted."""
        trace = TraceConfig()
        trace.on_request_headers_sent.append(self._count_request_headers)
        trace.on_request_chunk_sent.append(self._count_chunk)
        trace.on_response_chunk_received.append(self._count_chunk)
        trace.on_request_end.append(self._count_response_headers)
        return trace

    async def _count_request_headers(
        self, session: Any, _: Any, sent: Any
    ) -> None:
        self.byte_count += len(sent.method) + len(sent.url.raw_path_qs)
        self.byte_count += _STATUS_LINE_BYTES + _measure_headers(sent.headers)

    async def _count_chunk(
        self, session: Any, _: Any, chunk_event: Any
    ) -> None:
        self.byte_count += len(chunk_event.chunk)

    async def _count_response_headers(
        self, session: Any, _: Any, request_end: Any
    ) -> None:
        self.heartbeats += 1
        self.byte_count += _STATUS_LINE_BYTES + _measure_headers(
            request_end.response.headers
        )


def _measure_headers(headers: Mapping[str, str]) -> int:
    pairs = headers.items()
    lines = [f'{name}: {text}\r\n' for name, text in pairs]
    return len(''.join(lines)) + _EMPTY_LINE_BYTES


class Node:
    """The heartbeat exchange of one instance, with an HTTP server."""

    def __init__(self, number: int) -> None:
        """Set the name and state; the server listens after ``start``."""
        self.name = f'aberystwyth-{number}'
        self.state = MembershipState(notify=_ignore)
        self.runner: web.AppRunner | None = None
        self.endpoint = self._describe(_LOOPBACK)

    async def start(self, session: ClientSession, period_s: float) -> None:
        """Start the server on a free port."""
        app = web.Application()
        self.exchange = PeerExchange(
            session,
            self.state,
            self.endpoint,
            _get_status,
            period_s,
        )
        self.exchange.add_routes(app)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        await web.TCPSite(self.runner, _LOOPBACK, 0).start()
        host, port = self.runner.addresses[0]
        self.endpoint = self._describe(f'{host}:{port}')

    def _describe(self, address: str) -> Endpoint:
        return Endpoint(
            self.name,
            EndpointKind.INSTANCE,
            address,
            'aberystwyth',
            '4f1c22d0',
        )


def _ignore(change: Any) -> None:
    """Write no decision lines while measuring."""


def _get_status() -> InstanceStatus:
    return InstanceStatus(ready=True, position=_POSITION)


async def measure(count: int, period_s: float, seconds: float) -> None:
    """Run ``count`` exchanges and print their traffic and processor share."""
    meter = TrafficMeter()
    connector = TCPConnector(limit=0, keepalive_timeout=_KEEP_ALIVE_S)
    async with ClientSession(
        connector=connector,
        trace_configs=[meter.build_trace()],
    ) as session:
        nodes = [Node(number) for number in range(count)]
        await asyncio.gather(*(one.start(session, period_s) for one in nodes))
        now = clock.monotonic()
        for node in nodes:
            entries = [ListEntry(listed.endpoint) for listed in nodes]
            apply_list(node.state, entries, now)
        runs = [asyncio.create_task(one.exchange.run()) for one in nodes]
        await asyncio.sleep(_WARM_UP_S)
        await _measure_window(meter, count, seconds)
        for task in runs:
            task.cancel()
        await asyncio.gather(*_clean_up(nodes))


async def _measure_window(
    meter: TrafficMeter, count: int, seconds: float
) -> None:
    byte_count, heartbeats = meter.byte_count, meter.heartbeats
    used_s, began_at = _read_cpu(), clock.monotonic()
    await asyncio.sleep(seconds)
    took_s = clock.monotonic() - began_at
    share = (_read_cpu() - used_s) / took_s / count
    heartbeat_rate = (meter.heartbeats - heartbeats) / took_s / count
    # Each byte counts twice: one instance sends and another receives it.
    rate = 2 * (meter.byte_count - byte_count) / took_s / count
    sys.stdout.write(_LINE.format(count, rate, heartbeat_rate, share))


def _read_cpu() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _clean_up(nodes: Iterable[Node]) -> list[Any]:
    return [node.runner.cleanup() for node in nodes if node.runner]


def main() -> None:
    """Measure each size in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, nargs='+', default=[9])
    parser.add_argument('--period', type=float, default=0.5)
    parser.add_argument('--seconds', type=float, default=8)
    options = parser.parse_args()
    journal.start_logging(decisions=False)
    for count in options.instances:
        asyncio.run(measure(count, options.period, options.seconds))


if __name__ == '__main__':
    main()
