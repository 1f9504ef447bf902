"""Faults that a test switches on in a stand-in, by ``POST /faults``.

One fault holds for the requests whose path starts with ``path`` and whose
``X-Instance`` is among ``holders`` (all when empty), ``count`` times (without
end when left out). ``{"name": "clear"}`` ends all of them.
"""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, Final

from aiohttp import web

from verbenahall_standins import answers
from verbenahall_standins.actions import ACTIONS, Fault, Handler

#: Routes that no fault touches.
_TEST_ROUTES: Final = ('/faults', '/record')


class Faults:
    """The faults that are switched on in one process."""

    __slots__ = ('_active', 'on_change')

    def __init__(self) -> None:
        """Start without any fault."""
        self._active: list[Fault] = []
        self.on_change: Callable[[], None] = _do_nothing

    def switch(self, body: Mapping[str, Any]) -> None:
        """Add the fault that a request body describes, or clear all."""
        if body['name'] == 'clear':
            self._active.clear()
        else:
            known = {field.name for field in dataclasses.fields(Fault)}
            given = {key: body[key] for key in known.intersection(body)}
            given['holders'] = tuple(body.get('holders', ()))
            self._active.append(Fault(**given))
        self.on_change()

    def find(self, name: str) -> Fault | None:
        """Return the active fault of this name, without using it up."""
        return next(
            (fault for fault in self._active if fault.name == name),
            None,
        )

    def take(self, request: web.Request) -> Fault | None:
        """Return the request's fault, using up one of its count."""
        for fault in self._active:
            if fault.name in ACTIONS and _matches(fault, request):
                return self._use(fault)
        return None

    def use(self, name: str) -> Fault | None:
        """Return the active fault of this name, using up one count."""
        fault = self.find(name)
        return None if fault is None else self._use(fault)

    def _use(self, fault: Fault) -> Fault:
        fault.count -= 1
        if fault.count <= 0:
            self._active.remove(fault)
        return fault


def _do_nothing() -> None:
    """Stand in for a hook that nobody set."""


def _matches(fault: Fault, request: web.Request) -> bool:
    if not request.path.startswith(fault.path):
        return False
    holder = request.headers.get('X-Instance', '')
    return not fault.holders or holder in fault.holders


#: Faults that also end a long poll which began before them.
_CUTS: Final = frozenset(('down', 'partition', 'hang'))


class _FaultRoutes:
    """The route that switches faults, and what puts them around others."""

    __slots__ = ('_faults',)

    def __init__(self, faults: Faults) -> None:
        self._faults = faults

    async def switch(self, request: web.Request) -> web.Response:
        self._faults.switch(await request.json())
        return answers.answer_json({})

    @web.middleware
    async def surround(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if request.path in _TEST_ROUTES:
            return await handler(request)
        fault = self._faults.take(request)
        if fault is None:
            return await handler(request)
        return await ACTIONS[fault.name](fault, request, handler)


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Serve ``POST /faults`` and put the faults around all other routes."""
    routes = _FaultRoutes(faults)
    app.router.add_post('/faults', routes.switch)
    app.middlewares.append(routes.surround)


async def cut_poll(
    faults: Faults,
    request: web.Request,
    answer: web.StreamResponse,
) -> web.StreamResponse:
    """Apply a fault that was switched on while a long poll waited."""
    fault = faults.take(request)
    if fault is None or fault.name not in _CUTS:
        return answer
    return await ACTIONS[fault.name](fault, request, _return_empty)


async def _return_empty(request: web.Request) -> web.StreamResponse:
    return answers.answer_json({})
