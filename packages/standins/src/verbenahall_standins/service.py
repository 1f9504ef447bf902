"""Stand-in for a plain service with stored pages and writes.

``python -m verbenahall_standins.service --port 0 --name pages-1`` answers GET
requests for pages and POST requests from a field application.
"""

import argparse
import asyncio
from typing import Any

from aiohttp import web

from verbenahall_standins import answers, faults, serving


class PlainService:
    """Answers any method on any path and records each request that ran."""

    __slots__ = ('_delay_s', '_faults', '_name', '_started')

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with an empty record."""
        self._name = options.name
        self._delay_s = options.delay
        self._started: list[dict[str, Any]] = []
        self._faults = faults.Faults()

    def add_routes(self, app: web.Application) -> None:
        """Register the record route, the faults and a catch-all route."""
        app.router.add_get('/record', self._get_record)
        faults.add_fault_routes(app, self._faults)
        app.router.add_route('*', '/{path:.*}', self._run)

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        attempt = request.headers.get('X-Attempt-Id', '')
        run = {
            'number': len(self._started),
            'attempt': attempt,
            'key': request.headers.get('Idempotency-Key', ''),
            'method': request.method,
            'path': request.path,
        }
        self._started.append(run)
        await asyncio.sleep(self._delay_s)
        answer = {'service': self._name, 'bytes': len(body), **run}
        headers = {'X-Attempt-Id': attempt}
        return answers.build_answer(answer, headers=headers)

    async def _get_record(self, request: web.Request) -> web.Response:
        return answers.build_answer({'started': self._started})


def build(options: argparse.Namespace) -> web.Application:
    """Build the web application."""
    app = serving.new_application()
    PlainService(options).add_routes(app)
    return app


def main() -> None:
    """Run the service until SIGTERM."""
    parser = serving.new_parser('Plain service stand-in')
    parser.add_argument('--name', default='service-1')
    parser.add_argument('--delay', type=float, default=0)
    serving.serve(build, parser.parse_args())


if __name__ == '__main__':
    main()
