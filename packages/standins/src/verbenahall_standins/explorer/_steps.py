"""Building blocks of the transitions."""

import dataclasses

from verbenahall import orders
from verbenahall.authority import AuthorityState
from verbenahall.records import Record
from verbenahall_standins.explorer._rules import Rules
from verbenahall_standins.explorer._state import (
    Append,
    Bounds,
    Engine,
    Instance,
    Message,
    SystemState,
    copy_instance,
)


def is_effective(log: tuple[Record, ...], append: Append, rules: Rules) -> bool:
    """Return whether an append would change a state if it came next.

    If it would not now, it never will: offsets and tokens are not reused.
    """
    authority = AuthorityState()
    ordered = orders.OrdersState(authority)
    effective = False
    offset = len(log) + 1
    last = Record(offset, append.stream, append.record_id, append.body)
    for record in (*log, last):
        accepted = rules.apply(authority, record, 0)
        valid = orders.apply_record(ordered, record)
        effective = accepted or bool(valid)
    return effective


def execute_order(
    engine: Engine, message: Message
) -> tuple[Engine, orders.Outcome]:
    """Execute an order; an engine that checks tokens refuses a stale one."""
    order = message.order
    if engine.endpoint.checks_fencing and (
        message.token < engine.fencing
        or _parse(order.number) < _parse(engine.number)
    ):
        return engine, orders.Outcome.FENCED
    executed = dataclasses.replace(
        engine,
        holding=order.target,
        number=order.number,
        fencing=max(engine.fencing, message.token),
        applied_token=message.token,
    )
    return executed, orders.Outcome.STARTED


def _parse(number: str) -> tuple[int, ...]:
    return tuple(int(part) for part in number.split('.') if part)


def resolve_message(
    state: SystemState, message: Message, outcome: orders.Outcome
) -> SystemState:
    """Remove a message and record its outcome at the sender."""
    remaining = tuple(other for other in state.messages if other is not message)
    resolved = dataclasses.replace(state, messages=remaining)
    updated = copy_instance(resolved.instances[message.sender])
    orders.record_outcome(updated.dispatch, message.order, outcome, state.now)
    # The pauses between tries grow beyond one tick and would exclude
    # schedules from the exploration.
    engine_sends = updated.dispatch.find_sends(message.order.engine)
    engine_sends.retry_at = -float('inf')
    return replace_instance(resolved, message.sender, updated)


def build_report(engine: Engine) -> orders.EngineReport:
    """Return the engine's report of its state."""
    return orders.EngineReport(
        name=engine.endpoint.name,
        incarnation='1',
        holding=engine.holding,
        order=engine.number,
        fencing=engine.fencing,
        changing=False,
        in_flight=0,
        leaving=False,
    )


def send_append(
    state: SystemState,
    bounds: Bounds,
    updated: Instance,
    append: Append,
) -> SystemState:
    """Add a pending append; over the limit, the sender's oldest is lost."""
    pending = [
        other for other in state.appends if other.sender == append.sender
    ]
    lost = pending[:1] if len(pending) == bounds.appends else []
    kept = (other for other in state.appends if other not in lost)
    appended = replace_instance(state, append.sender, updated)
    return dataclasses.replace(appended, appends=(*kept, append))


def replace_instance(
    state: SystemState, index: int, updated: Instance
) -> SystemState:
    """Return a copy of the state with one instance replaced."""
    instances = list(state.instances)
    instances[index] = updated
    return dataclasses.replace(state, instances=tuple(instances))
