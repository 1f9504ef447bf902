"""Single changes of the explored world."""

import dataclasses

from verbenahall import orders
from verbenahall.authority import AuthorityState
from verbenahall.records import Record
from verbenahall_standins.explorer._rules import Rules
from verbenahall_standins.explorer._world import (
    Append,
    Bounds,
    Engine,
    Instance,
    Message,
    World,
    copy_instance,
)


def counts(log: tuple[Record, ...], append: Append, rules: Rules) -> bool:
    """Tell whether an append would change any fold if it came next.

    Once it would not, it never will: neither an offset nor a token returns.
    """
    authority = AuthorityState()
    ordered = orders.OrdersState(authority)
    counted = False
    offset = len(log) + 1
    last = Record(offset, append.stream, append.word, append.body)
    for record in (*log, last):
        accepted = rules.fold(authority, record, 0)
        valid = orders.apply_record(ordered, record)
        counted = accepted or bool(valid)
    return counted


def obey(engine: Engine, message: Message) -> tuple[Engine, orders.Outcome]:
    """Let an engine carry out an order, or refuse it if it checks."""
    order = message.order
    if engine.endpoint.checks_fencing and (
        message.token < engine.fencing
        or _parse(order.number) < _parse(engine.number)
    ):
        return engine, orders.Outcome.FENCED
    obeyed = dataclasses.replace(
        engine,
        holding=order.target,
        number=order.number,
        fencing=max(engine.fencing, message.token),
        effect=message.token,
    )
    return obeyed, orders.Outcome.STARTED


def _parse(number: str) -> tuple[int, ...]:
    return tuple(int(part) for part in number.split('.') if part)


def settle(world: World, message: Message, outcome: orders.Outcome) -> World:
    """Let the sender learn what became of its message."""
    left = tuple(other for other in world.messages if other is not message)
    settled = dataclasses.replace(world, messages=left)
    moved = copy_instance(settled.instances[message.sender])
    orders.record_outcome(moved.dispatch, message.order, outcome, world.now)
    # Pauses between tries grow beyond a tick and would hide schedules.
    engine_sends = moved.dispatch.find_sends(message.order.engine)
    engine_sends.retry_at = -float('inf')
    return put(settled, message.sender, moved)


def tell_state(engine: Engine) -> orders.EngineReport:
    """Return what the engine says of itself."""
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


def post(
    world: World,
    bounds: Bounds,
    moved: Instance,
    append: Append,
) -> World:
    """Put an append on its way; the sender's oldest is lost if too many."""
    mine = [other for other in world.appends if other.sender == append.sender]
    lost = mine[:1] if len(mine) == bounds.appends else []
    kept = (other for other in world.appends if other not in lost)
    posted = put(world, append.sender, moved)
    return dataclasses.replace(posted, appends=(*kept, append))


def put(world: World, index: int, moved: Instance) -> World:
    """Return the world with one instance moved on."""
    instances = list(world.instances)
    instances[index] = moved
    return dataclasses.replace(world, instances=tuple(instances))
