"""Orders and reports of engines, and their JSON encoding."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some

from verbenahall.fleet import Adapter, Role, Target

#: Errors that decoding a malformed body raises.
_DECODE_ERRORS: Final = (AttributeError, KeyError, TypeError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """Target for an engine process that is not in the log yet."""

    engine: str
    incarnation: str
    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order in the log; its target is absolute, not a difference.

    It is numbered by its position: ``offset`` is that of its record and
    ``index`` its place in the record. ``token`` is the fencing token under
    which it was recorded.
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
        """The number as sent to the engine, ``"offset.index"``."""
        return f'{self.offset}.{self.index}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine from its response to ``GET /state``.

    ``order`` is the number of the last order that it accepted, ``fencing``
    the highest fencing token that it has seen, and ``in_flight`` the number
    of running and queued requests.
    """

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
    """Bounds in seconds on how late an order may still reach an engine.

    ``order_timeout_s`` bounds the time in a connection, ``longest_pause_s``
    a pause of the sending process.
    """

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
    """Return a target as JSON-encodable values."""
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
    """Decode a target; raise an error of ``_DECODE_ERRORS`` if malformed."""
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
    """Return the body of a record that holds a batch of orders."""
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
    """Decode a batch; a malformed one is empty on every instance."""
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
    except _DECODE_ERRORS:
        return ()


def decode_report(body: Mapping[str, Any]) -> Maybe[EngineReport]:
    """Decode an engine's state; return Nothing if it is malformed."""
    try:
        return Some(_read_report(body))
    except _DECODE_ERRORS:
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
