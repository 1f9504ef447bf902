"""Configuration of an engine stand-in and the orders that change it."""

import asyncio
import dataclasses
import itertools
import secrets
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Final

from aiohttp import ClientError, ClientSession, web

from verbenahall import clock
from verbenahall.fleet import Role
from verbenahall_standins import answers, cost
from verbenahall_standins.faults import Faults

_INCARNATION_BYTES: Final = 4
_READ_BYTES: Final = 65_536
#: Seconds to load a model without a weight store.
_MODEL_CHANGE_S: Final = 8.0

_CHANGE_STARTED: Final = HTTPStatus.ACCEPTED
_ALREADY_ACTIVE: Final = HTTPStatus.OK
_ACCEPTED: Final = frozenset((_CHANGE_STARTED, _ALREADY_ACTIVE))


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """An engine's role, models by name with their version, and adapters."""

    role: Role
    models: Mapping[str, str]
    adapters: tuple[Mapping[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A received order.

    ``text`` is its identifier, ``number`` the offset and index in it.
    """

    text: str
    number: tuple[int, ...]
    fencing: int
    target: Configuration


def parse_number(text: str) -> tuple[int, ...]:
    """Parse an order's identifier, ``offset.index``."""
    return tuple(map(int, text.split('.')))


def parse_order(body: Mapping[str, Any]) -> Order:
    """Parse the body of an order."""
    target = body['target']
    return Order(
        text=body['order'],
        number=parse_number(body['order']),
        fencing=int(body['fencing']),
        target=Configuration(
            Role(target['role']),
            dict(target['models']),
            tuple(target['adapters']),
        ),
    )


class ConfigurationState:
    """The active configuration; at most one change runs at a time."""

    __slots__ = (
        '_chunk_count',
        '_faults',
        '_speed',
        '_task',
        '_weights',
        'active',
        'changing',
        'checks_fencing',
        'fencing',
        'incarnation',
        'on_change',
        'order',
        'record',
    )

    def __init__(
        self,
        active: Configuration,
        faults: Faults,
        speed: float,
        weights: str,
        checks_fencing: bool,
    ) -> None:
        """Start with a configuration; ``weights`` is the store's address."""
        self.active = active
        self.checks_fencing = checks_fencing
        self.incarnation = _new_incarnation()
        self.fencing = 0
        self.order = ''
        self.changing = False
        self.record: list[dict[str, Any]] = []
        self._faults = faults
        self._speed = speed
        self._weights = weights
        self._task: asyncio.Task[None] | None = None
        self._chunk_count = 0
        self.on_change: Callable[[], None] = _do_nothing

    def handle_order(self, order: Order, is_idle: bool) -> web.Response:
        """Start the change that an order requests, or refuse the order."""
        answer = self._check_order(order, is_idle)
        self._record_event('received', order, status=answer.status)
        if answer.status in _ACCEPTED:
            self.fencing = max(self.fencing, order.fencing)
            self.order = order.text
        # A repeated order must not start its change again.
        if answer.status == _CHANGE_STARTED and not self.changing:
            self.changing = True
            self._task = asyncio.create_task(self._run_change(order))
        return answer

    def can_serve(self, model: str, adapter: str) -> bool:
        """Return whether the model and the adapter, if any, are loaded."""
        names = {row['name'] for row in self.active.adapters}
        return model in self.active.models and (not adapter or adapter in names)

    def _check_order(self, order: Order, is_idle: bool) -> web.Response:
        if self._is_stale(order):
            newest = {'fencing': self.fencing, 'order': self.order}
            return answers.build_answer(newest, HTTPStatus.CONFLICT)
        if self.changing and order.text == self.order:
            return answers.build_answer({'order': order.text}, _CHANGE_STARTED)
        is_active = order.target == self.active
        if self.changing or not (is_idle or is_active):
            busy = {'changing': self.changing, 'order': self.order}
            return answers.build_answer(busy, HTTPStatus.LOCKED)
        status = _ALREADY_ACTIVE if is_active else _CHANGE_STARTED
        return answers.build_answer({'order': order.text}, status)

    def _is_stale(self, order: Order) -> bool:
        if not self.checks_fencing or self._faults.find('ignore_fencing'):
            return False
        if order.fencing < self.fencing:
            return True
        return bool(self.order) and order.number < parse_number(self.order)

    async def _run_change(self, order: Order) -> None:
        fault = self._faults.consume('crash_in_change')
        try:
            await self._apply_target(order.target)
        except (ClientError, TimeoutError):
            self._record_event('failed', order)
            self.changing = False
            return
        if fault is None:
            self.active = order.target
            self._record_event('in_force', order)
        else:
            self._record_event('crashed', order)
            self._reset_state()
        self.changing = False
        self.on_change()

    async def _apply_target(self, target: Configuration) -> None:
        if target.role != self.active.role:
            await asyncio.sleep(cost.ROLE_CHANGE_S / self._speed)
        missing = target.models.items() - self.active.models.items()
        await asyncio.gather(*itertools.starmap(self._fetch, missing))
        added = [
            row for row in target.adapters if row not in self.active.adapters
        ]
        await asyncio.sleep(len(added) * cost.ADAPTER_CHANGE_S / self._speed)

    async def _fetch(self, model: str, version: str) -> None:
        if not self._weights:
            await asyncio.sleep(_MODEL_CHANGE_S / self._speed)
            return
        url = f'http://{self._weights}/weights/{model}/{version}'
        async with (
            ClientSession(raise_for_status=True) as session,
            session.get(url) as answer,
        ):
            async for _ in answer.content.iter_chunked(_READ_BYTES):
                self._chunk_count += 1

    def _reset_state(self) -> None:
        """Reset to the state of a restarted process: no models, no orders."""
        self.active = Configuration(Role.MIXED, {}, ())
        self.incarnation = _new_incarnation()
        self.fencing = 0
        self.order = ''

    def _record_event(self, event: str, order: Order, **fields: Any) -> None:
        self.record.append(
            {
                'event': event,
                'order': order.text,
                'fencing': order.fencing,
                'target': dataclasses.asdict(order.target),
                'at': clock.monotonic(),
                **fields,
            },
        )


def _do_nothing() -> None:
    """Do nothing when the configuration changes."""


def _new_incarnation() -> str:
    return secrets.token_hex(_INCARNATION_BYTES)
