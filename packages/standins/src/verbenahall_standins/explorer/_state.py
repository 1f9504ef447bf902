"""State of the model: instances, log, engine and messages in transit."""

import dataclasses
from typing import Any, Final

from verbenahall.authority import AuthorityState, LeaseCandidate
from verbenahall.fleet import Endpoint, EndpointKind, Role, Target
from verbenahall.orders import (
    Dispatch,
    Order,
    OrdersState,
    EngineSends,
)
from verbenahall.records import Record
from verbenahall_standins.explorer._timing import ORDERS, SCOPE

#: Maximum ages in ticks, since all higher ages are equivalent: of a lease, and
#: of a new holder's grant, after which it waits before it sends orders.
_MAX_LEASE_AGE: Final = 2
_MAX_GATE_AGE: Final = 2
_EMPTY: Final = Target(Role.MIXED)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the exploration.

    ``records`` limits the log, ``appends`` the pending appends of each
    instance. Time needs no limit, because all ages above the longest timeout
    are equivalent.
    """

    records: int = 4
    appends: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedOrder:
    """An order that has passed the lease check and is not yet sent."""

    order: Order
    token: int
    checked_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """An order in transit to an engine, under the sender's token."""

    sender: int
    engine: int
    order: Order
    token: int
    sent_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine; ``applied_token`` is that of its last executed order."""

    endpoint: Endpoint
    holding: Target = _EMPTY
    number: str = ''
    fencing: int = 0
    applied_token: int = 0

    @property
    def key(self) -> tuple[str, int, int]:
        """Identifies the state; the order number implies the target."""
        return self.number, self.fencing, self.applied_token


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """An append in transit to the log."""

    sender: int
    stream: str
    body: dict[str, Any]
    record_id: str


class Instance:
    """One instance: the product's states, and the orders it has checked."""

    __slots__ = (
        'authority',
        'batch_count',
        'candidate',
        'checked_orders',
        'dispatch',
        'orders',
    )

    def __init__(self, name: str) -> None:
        """Start with nothing read and nothing sent."""
        self.authority = AuthorityState()
        self.candidate = LeaseCandidate(SCOPE, name, 0)
        self.orders = OrdersState(self.authority)
        self.dispatch = Dispatch(ORDERS)
        self.checked_orders: tuple[CheckedOrder, ...] = ()
        self.batch_count = 0

    @property
    def position(self) -> int:
        """The offset of the last record that the instance has read."""
        return self.authority.position


@dataclasses.dataclass(frozen=True, slots=True)
class SystemState:
    """The state of the whole model at tick ``now``."""

    now: int
    instances: tuple[Instance, ...]
    engines: tuple[Engine, ...]
    log: tuple[Record, ...] = ()
    history: tuple[tuple[int, str], ...] = ()
    appends: tuple[Append, ...] = ()
    messages: tuple[Message, ...] = ()

    @property
    def key(self) -> int:
        """A hash that is equal for states with the same future behaviour.

        The two instances are interchangeable, so a state and its mirror
        image have the same key.
        """
        keys = tuple(
            _key_instance(instance, self.now) for instance in self.instances
        )
        plain = (keys, *_key_shared(self, 0))
        mirrored = (tuple(reversed(keys)), *_key_shared(self, 1))
        return min(hash(plain), hash(mirrored))


def make_initial_state(*, checks: bool) -> SystemState:
    """Return two new instances, an empty log and one engine.

    Engines do not affect each other, so each kind of engine is explored by
    itself: ``checks`` says whether the engine checks fencing tokens.
    """
    return SystemState(
        now=0,
        instances=(Instance('a'), Instance('b')),
        engines=(Engine(_build_endpoint(checks=checks)),),
    )


def _build_endpoint(*, checks: bool) -> Endpoint:
    return Endpoint(
        name='engine',
        kind=EndpointKind.ENGINE,
        address='',
        data_centre=SCOPE,
        incarnation='1',
        checks_fencing=checks,
    )


def copy_instance(instance: Instance) -> Instance:
    """Return a copy that can change independently."""
    clone = Instance(instance.candidate.holder)
    clone.checked_orders = instance.checked_orders
    clone.batch_count = instance.batch_count
    clone.authority.grants = dict(instance.authority.grants)
    clone.authority.read_at = dict(instance.authority.read_at)
    clone.authority.position = instance.authority.position
    clone.candidate.sent = dict(instance.candidate.sent)
    clone.candidate.last_append_at = instance.candidate.last_append_at
    clone.orders.orders = dict(instance.orders.orders)
    outstanding_orders = instance.orders.outstanding_orders
    clone.orders.outstanding_orders = {
        SCOPE: dict(outstanding_orders.get(SCOPE, {}))
    }
    clone.orders.reports = dict(instance.orders.reports)
    clone.orders.reported_at = dict(instance.orders.reported_at)
    clone.orders.position = instance.orders.position
    clone.dispatch.grant = instance.dispatch.grant
    clone.dispatch.granted_at = instance.dispatch.granted_at
    for name, engine_sends in instance.dispatch.sends.items():
        copied = clone.dispatch.find_sends(name)
        for field in engine_sends.__slots__:
            setattr(copied, field, getattr(engine_sends, field))
    return clone


def _key_shared(state: SystemState, mirrored: int) -> tuple[Any, ...]:
    appends = (
        (append.sender ^ mirrored, append.record_id) for append in state.appends
    )
    messages = (
        (
            message.sender ^ mirrored,
            message.order.number,
            message.token,
            state.now - message.sent_at,
        )
        for message in state.messages
    )
    return (
        tuple(engine.key for engine in state.engines),
        tuple(
            (sender ^ mirrored, record_id)
            for sender, record_id in state.history
        ),
        frozenset(appends),
        frozenset(messages),
    )


def _key_instance(instance: Instance, now: int) -> tuple[Any, ...]:
    grant = instance.authority.find_grant(SCOPE)
    sent = instance.candidate.sent
    sends = instance.dispatch.sends
    progress = (instance.position, grant.last, instance.batch_count)
    ages = (
        _age(instance.authority.read_at.get(SCOPE), now, _MAX_LEASE_AGE),
        _age(sent.get(grant.after), now, _MAX_LEASE_AGE),
        _age(sent.get(grant.last), now, _MAX_LEASE_AGE),
        _age(instance.dispatch.granted_at, now, _MAX_GATE_AGE),
    )
    checked_orders = tuple(
        (checked.order.number, checked.token, now - checked.checked_at)
        for checked in instance.checked_orders
    )
    token = instance.dispatch.grant and instance.dispatch.grant.token
    sending = tuple(
        _key_sends(engine_sends, now) for engine_sends in sends.values()
    )
    return progress, ages, checked_orders, token, sending


def _key_sends(engine_sends: EngineSends, now: int) -> tuple[Any, ...]:
    return (
        engine_sends.sending,
        engine_sends.cleared,
        _age(engine_sends.read_back, now, 1),
        engine_sends.unanswered,
        _age(engine_sends.unanswered_at, now, 2),
    )


def _age(moment: float | None, now: int, cap: int) -> float | None:
    """Return an age of at most ``cap``; all higher ages are equivalent."""
    return None if moment is None else min(now - moment, cap)
