"""Bytes a second of heartbeats per instance, over loopback in one process.

``python -m verbenahall_standins.control_bytes --instances 9 50 200`` starts
that many exchanges and prints a line for each size. HTTP with its headers is
counted, TCP/IP's own headers are not.
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
_LINE_BYTES: Final = 17
_END_BYTES: Final = 2
_KEPT_OPEN_S: Final = 15
_LINE: Final = (
    '{0} instances: {1:.0f} B/s each (sent and received), '
    '{2:.2f} heartbeats/s sent each, {3:.2%} of a core each\n'
)
_POSITION: Final = 123_456


class Meter:
    """Adds up requests and answers as they stand on the wire."""

    __slots__ = ('carried', 'heartbeats')

    def __init__(self) -> None:
        """Start at nothing."""
        self.carried = 0
        self.heartbeats = 0

    def build_trace(self) -> TraceConfig:
        """Return what a client session needs to be metered."""
        trace = TraceConfig()
        trace.on_request_headers_sent.append(self._note_headers)
        trace.on_request_chunk_sent.append(self._note_chunk)
        trace.on_response_chunk_received.append(self._note_chunk)
        trace.on_request_end.append(self._note_answer)
        return trace

    async def _note_headers(self, session: Any, _: Any, sent: Any) -> None:
        self.carried += len(sent.method) + len(sent.url.raw_path_qs)
        self.carried += _LINE_BYTES + _measure_headers(sent.headers)

    async def _note_chunk(self, session: Any, _: Any, moved: Any) -> None:
        self.carried += len(moved.chunk)

    async def _note_answer(self, session: Any, _: Any, ended: Any) -> None:
        self.heartbeats += 1
        self.carried += _LINE_BYTES + _measure_headers(ended.response.headers)


def _measure_headers(headers: Mapping[str, str]) -> int:
    pairs = headers.items()
    lines = [f'{name}: {text}\r\n' for name, text in pairs]
    return len(''.join(lines)) + _END_BYTES


class Node:
    """One instance's exchange with its own server."""

    def __init__(self, number: int) -> None:
        """Give it a name; it listens after ``start``."""
        self.name = f'aberystwyth-{number}'
        self.state = MembershipState(notify=_ignore)
        self.runner: web.AppRunner | None = None
        self.endpoint = self._describe(_LOOPBACK)

    async def start(self, session: ClientSession, period_s: float) -> None:
        """Listen on a free port."""
        app = web.Application()
        self.exchange = PeerExchange(
            session,
            self.state,
            self.endpoint,
            _report,
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


def _report() -> InstanceStatus:
    return InstanceStatus(ready=True, position=_POSITION)


async def measure(count: int, period_s: float, seconds: float) -> None:
    """Run ``count`` exchanges and print what they cost."""
    meter = Meter()
    connector = TCPConnector(limit=0, keepalive_timeout=_KEPT_OPEN_S)
    async with ClientSession(
        connector=connector,
        trace_configs=[meter.build_trace()],
    ) as session:
        nodes = [Node(number) for number in range(count)]
        await asyncio.gather(*(one.start(session, period_s) for one in nodes))
        now = clock.monotonic()
        for node in nodes:
            entries = [ListEntry(known.endpoint) for known in nodes]
            apply_list(node.state, entries, now)
        runs = [asyncio.create_task(one.exchange.run()) for one in nodes]
        await asyncio.sleep(_WARM_UP_S)
        await _count(meter, count, seconds)
        for task in runs:
            task.cancel()
        await asyncio.gather(*_clean_up(nodes))


async def _count(meter: Meter, count: int, seconds: float) -> None:
    carried, heartbeats = meter.carried, meter.heartbeats
    used_s, began_at = _read_cpu(), clock.monotonic()
    await asyncio.sleep(seconds)
    took_s = clock.monotonic() - began_at
    share = (_read_cpu() - used_s) / took_s / count
    each = (meter.heartbeats - heartbeats) / took_s / count
    # Each byte is sent by one instance and received by another.
    rate = 2 * (meter.carried - carried) / took_s / count
    sys.stdout.write(_LINE.format(count, rate, each, share))


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
