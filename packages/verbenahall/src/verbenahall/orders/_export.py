"""Encodes the fold of orders as JSON for snapshots."""

from collections.abc import Mapping
from typing import Any

from verbenahall.orders._messages import Order, decode_target, encode_target
from verbenahall.orders._state import OrdersState, update_outstanding


def export_state(state: OrdersState) -> dict[str, Any]:
    """Return the latest valid order of each engine, for a snapshot."""
    return {
        engine: _export_order(order)
        for engine, order in sorted(state.orders.items())
    }


def restore_state(
    state: OrdersState,
    exported: Mapping[str, Any],
    position: int,
) -> None:
    """Replace the orders by a snapshot taken at offset ``position``.

    The reports of engines are kept, as they are not part of the log.
    """
    state.orders = {
        engine: _restore_order(row) for engine, row in exported.items()
    }
    state.outstanding_orders = {}
    for order in state.orders.values():
        update_outstanding(state, order)
    state.position = position


def _export_order(order: Order) -> dict[str, Any]:
    return {
        'offset': order.offset,
        'index': order.index,
        'engine': order.engine,
        'incarnation': order.incarnation,
        'target': encode_target(order.target),
        'scope': order.scope,
        'token': order.token,
    }


def _restore_order(row: Mapping[str, Any]) -> Order:
    return Order(**{**row, 'target': decode_target(row['target'])})
