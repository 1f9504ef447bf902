"""Orders to engines: recorded in the log, sent under a lease, and tracked."""

from verbenahall.orders._decisions import (
    SendGate,
    find_send_gate,
    is_changing,
    list_outstanding,
)
from verbenahall.orders._dispatch import (
    Dispatch,
    EngineSends,
    is_cleared,
    may_send,
    update_grant,
)
from verbenahall.orders._export import export_state, restore_state
from verbenahall.orders._failures import (
    list_withdrawals,
    record_failed_change,
    record_outcome,
    record_sending,
)
from verbenahall.orders._messages import (
    EngineReport,
    Order,
    OrderTiming,
    PlannedOrder,
    decode_report,
    encode_batch,
    encode_target,
)
from verbenahall.orders._outcomes import Outcome
from verbenahall.orders._progress import Progress, find_progress
from verbenahall.orders._shell import OrderSender, send_and_record
from verbenahall.orders._state import OrdersState, apply_record, record_report

__all__ = (
    'Dispatch',
    'EngineReport',
    'EngineSends',
    'Order',
    'OrderSender',
    'OrderTiming',
    'OrdersState',
    'Outcome',
    'PlannedOrder',
    'Progress',
    'SendGate',
    'apply_record',
    'decode_report',
    'encode_batch',
    'encode_target',
    'export_state',
    'find_progress',
    'find_send_gate',
    'is_changing',
    'is_cleared',
    'list_outstanding',
    'list_withdrawals',
    'may_send',
    'record_failed_change',
    'record_outcome',
    'record_report',
    'record_sending',
    'restore_state',
    'send_and_record',
    'update_grant',
)
