"""Messages of the orders slice and their JSON shapes."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some

from verbenahall.fleet import Adapter, Role, Target

#: What reading a body of another shape raises.
_UNSOUND: Final = (AttributeError, KeyError, TypeError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """What an engine process should hold next; not yet recorded."""

    engine: str
    incarnation: str
    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A recorded order: absolute, numbered by its place in the log.

    ``token`` is the fencing token under which it was recorded.
    """

    offset: int
    index: int
    engine: str
    incarnation: str
    target: Target
    scope: str
    token: int

    @property
    def number(self) -> str:
        """The number on the wire, ``"offset.index"``."""
        return f'{self.offset}.{self.index}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine said of itself in ``GET /state``."""

    name: str
    incarnation: str
    holding: Target
    order: str
    fencing: int
    changing: bool
    in_flight: int
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTiming:
    """Bounds in seconds on how late an order may still reach an engine."""

    order_timeout_s: float
    longest_pause_s: float


def sort_target(target: Target) -> Target:
    """Return an equal target whose models and adapters are in name order."""
    adapters = sorted(target.adapters, key=lambda adapter: adapter.name)
    return Target(
        role=target.role,
        models=tuple(sorted(target.models)),
        adapters=tuple(adapters),
    )


def encode_target(target: Target) -> dict[str, Any]:
    """Build the wire shape of a target."""
    return {
        'role': target.role.value,
        'models': dict(target.models),
        'adapters': [
            {
                'name': adapter.name,
                'model': adapter.model,
                'version': adapter.version,
            }
            for adapter in target.adapters
        ],
    }


def decode_target(body: Mapping[str, Any]) -> Target:
    """Read a target; raises KeyError, TypeError or ValueError if unsound."""
    versions = body['models'].items()
    models = tuple(_read_pair(*pair) for pair in versions)
    adapters = tuple(map(_read_adapter, body['adapters']))
    return sort_target(Target(Role(body['role']), models, adapters))


def _read_pair(name: str, version: str) -> tuple[str, str]:
    return str(name), str(version)


def _read_adapter(row: Mapping[str, Any]) -> Adapter:
    return Adapter(
        name=str(row['name']),
        model=str(row['model']),
        version=str(row['version']),
    )


def encode_batch(
    scope: str,
    token: int,
    planned: Iterable[PlannedOrder],
) -> dict[str, Any]:
    """Build the body of one record that carries a batch of orders."""
    return {
        'scope': scope,
        'token': token,
        'orders': [
            {
                'engine': order.engine,
                'incarnation': order.incarnation,
                'target': encode_target(order.target),
            }
            for order in planned
        ],
    }


def decode_batch(body: Mapping[str, Any], offset: int) -> tuple[Order, ...]:
    """Read a batch; an unsound one is empty, for every reader alike."""
    try:
        return tuple(
            Order(
                offset=offset,
                index=index,
                engine=str(row['engine']),
                incarnation=str(row['incarnation']),
                target=decode_target(row['target']),
                scope=str(body['scope']),
                token=int(body['token']),
            )
            for index, row in enumerate(body['orders'])
        )
    except _UNSOUND:
        return ()


def decode_report(body: Mapping[str, Any]) -> Maybe[EngineReport]:
    """Read an engine's state; Nothing if it does not have the right shape."""
    try:
        return Some(_read_report(body))
    except _UNSOUND:
        return Nothing


def _read_report(body: Mapping[str, Any]) -> EngineReport:
    return EngineReport(
        name=str(body['name']),
        incarnation=str(body['incarnation']),
        holding=decode_target(body),
        order=str(body.get('order') or ''),
        fencing=int(body.get('fencing') or 0),
        changing=bool(body['changing']),
        in_flight=int(body['running']) + int(body['queued']),
        leaving=bool(body.get('leaving')),
    )
