"""Control calls to engines: reports, role orders and KV cache handles."""

import dataclasses
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.fleet import Role
from verbenahall.platform import _fields as fields
from verbenahall.platform import _names as names

#: State of an engine that leaves, in its report as in its entry.
_LEAVING_STATE: Final = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillResult:
    """The result of a prefill: the handle of the KV cache and its tokens."""

    handle: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports, some hundred milliseconds old.

    ``orders`` counts the role orders that the engine has accepted since its
    start. The next order carries this count, so that the engine ignores an
    order that arrives late. ``leaving`` means that it is about to exit.
    """

    role: Role
    changing: bool
    orders: int
    waiting: int
    running: int
    kv_used: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrder:
    """An order to an engine to change its role, with a fencing token."""

    role: Role
    holder: str
    token: int
    orders: int


def decode_prefill_result(body: bytes) -> Maybe[PrefillResult]:
    """Decode an engine's answer to a prefill; Nothing if it is malformed."""
    match wire.decode_table(body):
        case Success({'kvHandle': str(handle), 'tokens': int(tokens)}):
            return Some(PrefillResult(handle, tokens))
        case _:
            return Nothing


def decode_report(body: bytes) -> Maybe[EngineReport]:
    """Decode an engine's report; Nothing if it is malformed."""
    match wire.decode_table(body):
        case Success(table):
            return _build_report(table)
        case _:
            return Nothing


def encode_order(order: RoleOrder) -> bytes:
    """Encode a role order as the JSON body of a call."""
    return wire.encode(
        {
            'op': 'stage',
            'stage': order.role.value,
            'holder': order.holder,
            'fence': order.token,
            # The engine compares this with its own count of accepted orders.
            'expect': order.orders,
        },
    )


def format_kv_source(address: str, handle: str) -> str:
    """Return the header value that locates KV cache: ``address/handle``."""
    return f'{address}/{handle}'


def format_handle_path(handle: str) -> str:
    """Return the path of the call that releases a KV cache handle."""
    return names.KV_HANDLE + handle


def _build_report(table: dict[str, Any]) -> Maybe[EngineReport]:
    try:
        return Some(
            EngineReport(
                role=Role(fields.text(table, 'stage')),
                changing=table.get('busy') is True,
                # The store's entry has a field ``seq`` too, which counts the
                # changes of the entry and not the accepted orders.
                orders=fields.integer(table, 'seq'),
                waiting=fields.integer(table, 'waiting', 0),
                running=fields.integer(table, 'running', 0),
                kv_used=fields.integer(table, 'kvUsed', 0),
                leaving=table.get('state') == _LEAVING_STATE,
            ),
        )
    except (KeyError, TypeError, ValueError):
        return Nothing
