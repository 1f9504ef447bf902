"""Every step that the explored world can take next."""

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
from verbenahall_standins.explorer._steps import (
    counts,
    obey,
    post,
    put,
    settle,
    tell_state,
)
from verbenahall_standins.explorer._timing import LEASE, ORDERS, SCOPE
from verbenahall_standins.explorer._world import (
    Append,
    Bounds,
    Engine,
    InHand,
    Instance,
    Message,
    World,
    copy_instance,
)

Move = tuple[str, World]
_TARGETS: Final = (
    Target(Role.MIXED, (('model', 'of-a'),)),
    Target(Role.MIXED, (('model', 'of-b'),)),
)


def list_moves(world: World, bounds: Bounds, rules: Rules) -> Iterator[Move]:
    """Yield each possible next world with a word on what happened."""
    yield from _list_log_moves(world, bounds, rules)
    for index, _ in enumerate(world.instances):
        yield from _list_authority_moves(world, bounds, rules, index)
        yield from _list_order_moves(world, bounds, rules, index)
    for message in world.messages:
        yield from _list_deliveries(world, message)
    yield from _list_ticks(world)


def _list_log_moves(
    world: World,
    bounds: Bounds,
    rules: Rules,
) -> Iterator[Move]:
    """Let an append land; those that every fold now ignores are dropped."""
    if len(world.log) >= bounds.records:
        return
    for append in world.appends:
        offset = len(world.log) + 1
        record = Record(offset, append.stream, append.word, append.body)
        history = (*world.history, (append.sender, append.word))
        log = (*world.log, record)
        left = tuple(
            other
            for other in world.appends
            if other is not append and counts(log, other, rules)
        )
        landed = dataclasses.replace(
            world,
            log=log,
            history=history,
            appends=left,
        )
        yield f'log takes {offset}: {append.sender} {append.word}', landed


def _list_authority_moves(
    world: World,
    bounds: Bounds,
    rules: Rules,
    index: int,
) -> Iterator[Move]:
    instance = world.instances[index]
    if instance.position < len(world.log):
        moved = copy_instance(instance)
        for record in world.log[instance.position :]:
            rules.fold(moved.authority, record, world.now)
            orders.apply_record(moved.orders, record)
        yield f'{index} reads to {moved.position}', put(world, index, moved)
    moved = copy_instance(instance)
    step = choose_step(moved.authority, moved.candidate, LEASE, world.now)
    if isinstance(step, Claim | Renew):
        record_sent(moved.candidate, step.after, world.now)
        holder = moved.candidate.holder
        body = encode_step(step, SCOPE, holder, LEASE.lease_s)
        append = Append(index, AUTHORITY_STREAM, body, f'{step}')
        # The pause between tries is no guard, and a second copy on its way
        # changes nothing.
        moved.candidate.last_append_at = -float('inf')
        if append not in world.appends and counts(world.log, append, rules):
            sent = post(world, bounds, moved, append)
            yield f'{index} sends {step}', sent


def _list_order_moves(
    world: World,
    bounds: Bounds,
    rules: Rules,
    index: int,
) -> Iterator[Move]:
    instance = world.instances[index]
    for in_hand in instance.in_hand:
        yield _write(world, index, in_hand)
    token = rules.hold(instance.authority, instance.candidate, world.now)
    if token is None:
        return
    leading = copy_instance(instance)
    grant = leading.authority.find_grant(SCOPE)
    orders.update_grant(leading.dispatch, grant, world.now)
    for engine in world.engines:
        leading.dispatch.find_sends(engine.endpoint.name)
    rules.adjust_gates(leading.dispatch)
    if not leading.recorded:
        yield _record(world, bounds, index, leading, token)
    for engine in world.engines:
        yield from _list_engine_moves(world, index, leading, engine, token)


def _list_engine_moves(
    world: World,
    index: int,
    leading: Instance,
    engine: Engine,
    token: int,
) -> Iterator[Move]:
    name = engine.endpoint.name
    asked = copy_instance(leading)
    orders.record_report(asked.orders, tell_state(engine), world.now)
    orders.is_cleared(asked.dispatch, asked.orders, engine.endpoint)
    if leading.dispatch.find_sends(name).cleared:
        asked = leading
    else:
        yield f'{index} asks {name}', put(world, index, asked)
    for order in orders.list_outstanding(asked.orders, SCOPE):
        moved = copy_instance(asked)
        orders.record_report(moved.orders, tell_state(engine), world.now)
        if order.engine == name and orders.may_send(
            moved.dispatch,
            moved.orders,
            order,
            engine.endpoint,
            world.now,
        ):
            orders.record_sending(moved.dispatch, order)
            moved.in_hand = (
                *moved.in_hand,
                InHand(order, token, world.now),
            )
            checked = put(world, index, moved)
            yield f'{index} checks {order.number} under {token}', checked


def _record(
    world: World,
    bounds: Bounds,
    index: int,
    leading: Instance,
    token: int,
) -> Move:
    moved = copy_instance(leading)
    moved.recorded += 1
    planned = [
        orders.PlannedOrder(engine.endpoint.name, '1', _TARGETS[index])
        for engine in world.engines
    ]
    body = orders.encode_batch(SCOPE, token, planned)
    append = Append(index, ORDERS_STREAM, body, f'orders {token}')
    return f'{index} records', post(world, bounds, moved, append)


def _write(world: World, index: int, in_hand: InHand) -> Move:
    moved = copy_instance(world.instances[index])
    moved.in_hand = tuple(
        other for other in moved.in_hand if other is not in_hand
    )
    names = [engine.endpoint.name for engine in world.engines]
    message = Message(
        sender=index,
        engine=names.index(in_hand.order.engine),
        order=in_hand.order,
        token=in_hand.token,
        written_at=world.now,
    )
    written = dataclasses.replace(
        put(world, index, moved),
        messages=(*world.messages, message),
    )
    return f'{index} writes', written


def _list_deliveries(world: World, message: Message) -> Iterator[Move]:
    engine = world.engines[message.engine]
    moved, outcome = obey(engine, message)
    label = f'engine {outcome.value}'
    engines = list(world.engines)
    engines[message.engine] = moved
    delivered = dataclasses.replace(world, engines=tuple(engines))
    yield label, settle(delivered, message, outcome)
    yield f'{label} unheard', settle(delivered, message, orders.Outcome.UNKNOWN)


def _list_ticks(world: World) -> Iterator[Move]:
    """Let time pass, as far as the settings' bounds on lateness allow.

    An order in hand is written within the longest pause (the assumption on
    which engines that ignore tokens depend), and what is written is
    delivered within the order timeout or its connection dies.
    """
    for instance in world.instances:
        for in_hand in instance.in_hand:
            if world.now - in_hand.checked_at >= ORDERS.longest_pause_s:
                return
    later = world
    for message in world.messages:
        if world.now - message.written_at >= ORDERS.order_timeout_s:
            later = settle(later, message, orders.Outcome.UNKNOWN)
    yield 'tick', dataclasses.replace(later, now=world.now + 1)
