"""Stand-in for the weight store; its bandwidth is shared by all readers.

``python -m verbenahall_standins.weights --port 0 --bytes-per-s 4000000``
"""

import argparse
import asyncio
from typing import Any, Final

from aiohttp import web

from verbenahall import clock
from verbenahall_standins import answers, faults, serving

_BYTES_PER_S: Final = 4_000_000
_BLOCK_BYTES: Final = 65_536
_BLOCK: Final = bytes(_BLOCK_BYTES)
#: Size of the model that the cost model describes.
_MODEL_GB: Final = 26.0
#: Bytes that are sent in place of one gigabyte of weights.
_BYTES_PER_GB: Final = 100_000


class WeightService:
    """HTTP routes of the store; blocks are sent one at a time."""

    __slots__ = (
        '_bytes_per_s',
        '_faults',
        '_free_at',
        '_size_bytes',
        '_started',
    )

    def __init__(self, options: argparse.Namespace) -> None:
        """Start without transfers."""
        self._bytes_per_s = options.bytes_per_s
        self._free_at: float = 0
        self._size_bytes = int(options.gb * _BYTES_PER_GB)
        self._started: list[dict[str, Any]] = []
        self._faults = faults.Faults()

    def add_routes(self, app: web.Application) -> None:
        """Register the store's routes."""
        app.router.add_get('/weights/{model}/{version}', self._stream)
        app.router.add_get('/record', self._get_record)
        faults.add_fault_routes(app, self._faults)

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        self._started.append(dict(request.match_info))
        remaining = self._size_bytes
        answer = web.StreamResponse()
        answer.content_length = remaining
        await answer.prepare(request)
        while remaining > 0:
            block = _BLOCK[:remaining]
            await self._wait_for_bandwidth(len(block))
            await answer.write(block)
            remaining -= len(block)
        return answer

    async def _wait_for_bandwidth(self, size: int) -> None:
        now = clock.monotonic()
        starts_at = max(now, self._free_at)
        self._free_at = starts_at + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)

    async def _get_record(self, request: web.Request) -> web.Response:
        return answers.build_answer({'started': self._started})


def build(options: argparse.Namespace) -> web.Application:
    """Build the web application."""
    app = serving.new_application()
    WeightService(options).add_routes(app)
    return app


def main() -> None:
    """Run the weight store until SIGTERM."""
    parser = serving.new_parser('Weight store stand-in')
    parser.add_argument('--gb', type=float, default=_MODEL_GB)
    parser.add_argument('--bytes-per-s', type=int, default=_BYTES_PER_S)
    serving.serve(build, parser.parse_args())


if __name__ == '__main__':
    main()
