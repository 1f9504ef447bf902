"""All transitions from one state of the model to the next."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from verbenahall import orders
from verbenahall.authority import (
    Claim,
    Renew,
    choose_step,
    encode_step,
    record_sent,
)
from verbenahall.fleet import Role, Target
from verbenahall.records import AUTHORITY_STREAM, ORDERS_STREAM, Record
from verbenahall_standins.explorer._rules import Rules
from verbenahall_standins.explorer._state import (
    Append,
    Bounds,
    CheckedOrder,
    Engine,
    Instance,
    Message,
    SystemState,
    copy_instance,
)
from verbenahall_standins.explorer._steps import (
    build_report,
    execute_order,
    is_effective,
    replace_instance,
    resolve_message,
    send_append,
)
from verbenahall_standins.explorer._timing import LEASE, ORDERS, SCOPE

Transition = tuple[str, SystemState]
_TARGETS: Final = (
    Target(Role.MIXED, (('model', 'of-a'),)),
    Target(Role.MIXED, (('model', 'of-b'),)),
)


def list_transitions(
    state: SystemState, bounds: Bounds, rules: Rules
) -> Iterator[Transition]:
    """Yield a label and the next state for each possible transition."""
    yield from _list_log_transitions(state, bounds, rules)
    for index, _ in enumerate(state.instances):
        yield from _list_authority_transitions(state, bounds, rules, index)
        yield from _list_order_transitions(state, bounds, rules, index)
    for message in state.messages:
        yield from _list_deliveries(state, message)
    yield from _list_ticks(state)


def _list_log_transitions(
    state: SystemState,
    bounds: Bounds,
    rules: Rules,
) -> Iterator[Transition]:
    """Write a pending append to the log.

    Pending appends that would no longer change any state are dropped.
    """
    if len(state.log) >= bounds.records:
        return
    for append in state.appends:
        offset = len(state.log) + 1
        record = Record(offset, append.stream, append.record_id, append.body)
        history = (*state.history, (append.sender, append.record_id))
        log = (*state.log, record)
        remaining = tuple(
            other
            for other in state.appends
            if other is not append and is_effective(log, other, rules)
        )
        appended = dataclasses.replace(
            state,
            log=log,
            history=history,
            appends=remaining,
        )
        yield (
            f'log appends {offset}: {append.sender} {append.record_id}',
            appended,
        )


def _list_authority_transitions(
    state: SystemState,
    bounds: Bounds,
    rules: Rules,
    index: int,
) -> Iterator[Transition]:
    instance = state.instances[index]
    if instance.position < len(state.log):
        updated = copy_instance(instance)
        for record in state.log[instance.position :]:
            rules.apply(updated.authority, record, state.now)
            orders.apply_record(updated.orders, record)
        yield (
            f'{index} reads to {updated.position}',
            replace_instance(state, index, updated),
        )
    updated = copy_instance(instance)
    step = choose_step(updated.authority, updated.candidate, LEASE, state.now)
    if isinstance(step, Claim | Renew):
        record_sent(updated.candidate, step.after, state.now)
        holder = updated.candidate.holder
        body = encode_step(step, SCOPE, holder, LEASE.lease_s)
        append = Append(index, AUTHORITY_STREAM, body, f'{step}')
        # Safety does not depend on the pause between tries. A second copy of
        # a pending append would have no effect.
        updated.candidate.last_append_at = -float('inf')
        if append not in state.appends and is_effective(
            state.log, append, rules
        ):
            sent = send_append(state, bounds, updated, append)
            yield f'{index} sends {step}', sent


def _list_order_transitions(
    state: SystemState,
    bounds: Bounds,
    rules: Rules,
    index: int,
) -> Iterator[Transition]:
    instance = state.instances[index]
    for checked in instance.checked_orders:
        yield _send_order(state, index, checked)
    token = rules.find_held_token(
        instance.authority, instance.candidate, state.now
    )
    if token is None:
        return
    leader = copy_instance(instance)
    grant = leader.authority.find_grant(SCOPE)
    orders.update_grant(leader.dispatch, grant, state.now)
    for engine in state.engines:
        leader.dispatch.find_sends(engine.endpoint.name)
    rules.adjust_gates(leader.dispatch)
    if not leader.batch_count:
        yield _append_orders(state, bounds, index, leader, token)
    for engine in state.engines:
        yield from _list_engine_transitions(state, index, leader, engine, token)


def _list_engine_transitions(
    state: SystemState,
    index: int,
    leader: Instance,
    engine: Engine,
    token: int,
) -> Iterator[Transition]:
    name = engine.endpoint.name
    polled = copy_instance(leader)
    orders.record_report(polled.orders, build_report(engine), state.now)
    orders.is_cleared(polled.dispatch, polled.orders, engine.endpoint)
    if leader.dispatch.find_sends(name).cleared:
        polled = leader
    else:
        yield f'{index} polls {name}', replace_instance(state, index, polled)
    for order in orders.list_outstanding(polled.orders, SCOPE):
        updated = copy_instance(polled)
        orders.record_report(updated.orders, build_report(engine), state.now)
        if order.engine == name and orders.may_send(
            updated.dispatch,
            updated.orders,
            order,
            engine.endpoint,
            state.now,
        ):
            orders.record_sending(updated.dispatch, order)
            updated.checked_orders = (
                *updated.checked_orders,
                CheckedOrder(order, token, state.now),
            )
            checked_state = replace_instance(state, index, updated)
            yield f'{index} checks {order.number} under {token}', checked_state


def _append_orders(
    state: SystemState,
    bounds: Bounds,
    index: int,
    leader: Instance,
    token: int,
) -> Transition:
    updated = copy_instance(leader)
    updated.batch_count += 1
    planned = [
        orders.PlannedOrder(engine.endpoint.name, '1', _TARGETS[index])
        for engine in state.engines
    ]
    body = orders.encode_batch(SCOPE, token, planned)
    append = Append(index, ORDERS_STREAM, body, f'orders {token}')
    return f'{index} appends orders', send_append(
        state, bounds, updated, append
    )


def _send_order(
    state: SystemState, index: int, checked: CheckedOrder
) -> Transition:
    updated = copy_instance(state.instances[index])
    updated.checked_orders = tuple(
        other for other in updated.checked_orders if other is not checked
    )
    names = [engine.endpoint.name for engine in state.engines]
    message = Message(
        sender=index,
        engine=names.index(checked.order.engine),
        order=checked.order,
        token=checked.token,
        sent_at=state.now,
    )
    written = dataclasses.replace(
        replace_instance(state, index, updated),
        messages=(*state.messages, message),
    )
    return f'{index} sends an order', written


def _list_deliveries(
    state: SystemState, message: Message
) -> Iterator[Transition]:
    engine = state.engines[message.engine]
    updated, outcome = execute_order(engine, message)
    label = f'engine {outcome.value}'
    engines = list(state.engines)
    engines[message.engine] = updated
    delivered = dataclasses.replace(state, engines=tuple(engines))
    yield label, resolve_message(delivered, message, outcome)
    yield (
        f'{label}, answer lost',
        resolve_message(delivered, message, orders.Outcome.UNKNOWN),
    )


def _list_ticks(state: SystemState) -> Iterator[Transition]:
    """Advance time by one tick if the timing assumptions allow it.

    A checked order is sent within ``longest_pause_s``; engines that ignore
    tokens are safe only under this assumption. A message that has been sent
    is delivered within ``order_timeout_s``, or its connection fails.
    """
    for instance in state.instances:
        for checked in instance.checked_orders:
            if state.now - checked.checked_at >= ORDERS.longest_pause_s:
                return
    later = state
    for message in state.messages:
        if state.now - message.sent_at >= ORDERS.order_timeout_s:
            later = resolve_message(later, message, orders.Outcome.UNKNOWN)
    yield 'tick', dataclasses.replace(later, now=state.now + 1)
