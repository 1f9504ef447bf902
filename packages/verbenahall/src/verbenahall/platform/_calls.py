"""Calls to engines that no caller asked for, and their answers."""

import dataclasses
from typing import Any

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.fleet import Role
from verbenahall.platform import _fields as fields
from verbenahall.platform import _names as names


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPrompt:
    """A prompt that an engine has read: where its KV cache lies."""

    handle: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds old.

    ``orders`` counts the orders that it accepted since its start; a further
    order names it, so that one that arrives late changes nothing.
    """

    role: Role
    changing: bool
    orders: int
    waiting: int
    running: int
    kv_used: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrder:
    """An order for a role, under a fencing token."""

    role: Role
    holder: str
    token: int
    orders: int


def decode_read_prompt(body: bytes) -> Maybe[ReadPrompt]:
    """Decode the answer to a prompt that was read."""
    match wire.decode_table(body):
        case Success({'kvHandle': str(handle), 'tokens': int(tokens)}):
            return Some(ReadPrompt(handle, tokens))
        case _:
            return Nothing


def decode_report(body: bytes) -> Maybe[EngineReport]:
    """Decode an engine's report."""
    match wire.decode_table(body):
        case Success(table):
            return _build_report(table)
        case _:
            return Nothing


def encode_order(order: RoleOrder) -> bytes:
    """Encode an order for a role."""
    return wire.encode(
        {
            'op': 'stage',
            'stage': order.role.value,
            'holder': order.holder,
            'fence': order.token,
            # The report's count of accepted orders, by the wire's name.
            'expect': order.orders,
        },
    )


def name_handle(address: str, handle: str) -> str:
    """Return how a send names KV cache that lies at an engine."""
    return f'{address}/{handle}'


def handle_path(handle: str) -> str:
    """Return the path under which a handle is freed."""
    return names.KV_HANDLE + handle


def _build_report(table: dict[str, Any]) -> Maybe[EngineReport]:
    try:
        return Some(
            EngineReport(
                role=Role(fields.text(table, 'stage')),
                changing=table.get('busy') is True,
                # Not the count in the store's entry, which has other causes.
                orders=fields.integer(table, 'seq'),
                waiting=fields.integer(table, 'waiting', 0),
                running=fields.integer(table, 'running', 0),
                kv_used=fields.integer(table, 'kvUsed', 0),
            ),
        )
    except (KeyError, TypeError, ValueError):
        return Nothing
