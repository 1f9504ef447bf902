"""Fault injection: tests add faults to a stand-in with ``POST /faults``.

A fault applies to requests whose path starts with ``path`` and whose
``X-Instance`` header is one of ``holders``, or to every request if this is
empty. It is removed after ``count`` requests, or stays if no count is given.
``{"name": "clear"}`` removes all faults.
"""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, Final

from aiohttp import web

from verbenahall_standins import answers
from verbenahall_standins.actions import ACTIONS, Fault, Handler

#: Routes that are exempt from faults.
_TEST_ROUTES: Final = ('/faults', '/record')


class Faults:
    """The active faults of one process."""

    __slots__ = ('_active', 'on_change')

    def __init__(self) -> None:
        """Start without faults."""
        self._active: list[Fault] = []
        self.on_change: Callable[[], None] = _do_nothing

    def apply_command(self, body: Mapping[str, Any]) -> None:
        """Add the fault described by a request body, or clear all faults."""
        if body['name'] == 'clear':
            self._active.clear()
        else:
            field_names = {field.name for field in dataclasses.fields(Fault)}
            values = {key: body[key] for key in field_names.intersection(body)}
            values['holders'] = tuple(body.get('holders', ()))
            self._active.append(Fault(**values))
        self.on_change()

    def find(self, name: str) -> Fault | None:
        """Return the active fault with this name, without counting a use."""
        return next(
            (fault for fault in self._active if fault.name == name),
            None,
        )

    def consume_matching(self, request: web.Request) -> Fault | None:
        """Return the first fault that applies to a request, counting a use."""
        for fault in self._active:
            if fault.name in ACTIONS and _matches(fault, request):
                return self._consume(fault)
        return None

    def consume(self, name: str) -> Fault | None:
        """Return the active fault with this name, counting a use."""
        fault = self.find(name)
        return None if fault is None else self._consume(fault)

    def _consume(self, fault: Fault) -> Fault:
        fault.count -= 1
        if fault.count <= 0:
            self._active.remove(fault)
        return fault


def _do_nothing() -> None:
    """Do nothing when the faults change."""


def _matches(fault: Fault, request: web.Request) -> bool:
    if not request.path.startswith(fault.path):
        return False
    holder = request.headers.get('X-Instance', '')
    return not fault.holders or holder in fault.holders


#: Faults that also interrupt long polls which started before them.
_POLL_FAULTS: Final = frozenset(('down', 'partition', 'hang'))


class _FaultRoutes:
    """The ``/faults`` route and the middleware that applies faults."""

    __slots__ = ('_faults',)

    def __init__(self, faults: Faults) -> None:
        self._faults = faults

    async def apply_command(self, request: web.Request) -> web.Response:
        self._faults.apply_command(await request.json())
        return answers.build_answer({})

    @web.middleware
    async def inject_fault(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if request.path in _TEST_ROUTES:
            return await handler(request)
        fault = self._faults.consume_matching(request)
        if fault is None:
            return await handler(request)
        return await ACTIONS[fault.name](fault, request, handler)


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Add the ``POST /faults`` route and the middleware for other routes."""
    routes = _FaultRoutes(faults)
    app.router.add_post('/faults', routes.apply_command)
    app.middlewares.append(routes.inject_fault)


async def apply_poll_fault(
    faults: Faults,
    request: web.Request,
    answer: web.StreamResponse,
) -> web.StreamResponse:
    """Apply a fault that was added while a long poll was waiting."""
    fault = faults.consume_matching(request)
    if fault is None or fault.name not in _POLL_FAULTS:
        return answer
    return await ACTIONS[fault.name](fault, request, _return_empty)


async def _return_empty(request: web.Request) -> web.StreamResponse:
    return answers.build_answer({})
