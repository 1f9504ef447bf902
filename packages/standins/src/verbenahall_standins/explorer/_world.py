"""The explored world: instances, log, engines and what is on the way."""

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

#: Ages from which on a lease and a gate behave alike.
_LEASE_TICKS: Final = 2
_GATE_TICKS: Final = 2
_EMPTY: Final = Target(Role.MIXED)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How far the exploration goes.

    ``records`` in the log and ``appends`` on the way at once for each
    instance; time has no bound, since ages beyond every timing are alike.
    """

    records: int = 4
    appends: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class InHand:
    """An order whose lease check has passed and that is not yet written."""

    order: Order
    token: int
    checked_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """An order on its way to an engine, under the sender's token."""

    sender: int
    engine: int
    order: Order
    token: int
    written_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine; ``effect`` is the token of the last order it carried out."""

    endpoint: Endpoint
    holding: Target = _EMPTY
    number: str = ''
    fencing: int = 0
    effect: int = 0

    @property
    def key(self) -> tuple[str, int, int]:
        """What tells its states apart; the number implies the target."""
        return self.number, self.fencing, self.effect


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """An append on its way to the log."""

    sender: int
    stream: str
    body: dict[str, Any]
    word: str


class Instance:
    """One instance: the production states, and an order in its hand."""

    __slots__ = (
        'authority',
        'candidate',
        'dispatch',
        'in_hand',
        'orders',
        'recorded',
    )

    def __init__(self, name: str) -> None:
        """Start with nothing read and nothing sent."""
        self.authority = AuthorityState()
        self.candidate = LeaseCandidate(SCOPE, name, 0)
        self.orders = OrdersState(self.authority)
        self.dispatch = Dispatch(ORDERS)
        self.in_hand: tuple[InHand, ...] = ()
        self.recorded = 0

    @property
    def position(self) -> int:
        """The offset of the last record that the instance has read."""
        return self.authority.position


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """Everything, at tick ``now``."""

    now: int
    instances: tuple[Instance, ...]
    engines: tuple[Engine, ...]
    log: tuple[Record, ...] = ()
    history: tuple[tuple[int, str], ...] = ()
    appends: tuple[Append, ...] = ()
    messages: tuple[Message, ...] = ()

    @property
    def key(self) -> int:
        """Equal for worlds that behave alike from here.

        The two instances are alike, so a world and its mirror image are one.
        """
        keys = tuple(
            _key_instance(instance, self.now) for instance in self.instances
        )
        plain = (keys, *_key_shared(self, 0))
        mirrored = (tuple(reversed(keys)), *_key_shared(self, 1))
        return min(hash(plain), hash(mirrored))


def start_world(*, checks: bool) -> World:
    """Two fresh instances, an empty log, one engine.

    What happens at one engine changes nothing at another, so one engine of
    each kind is explored by one world for each.
    """
    return World(
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
    """Copy an instance so that the copy can move on."""
    twin = Instance(instance.candidate.holder)
    twin.in_hand = instance.in_hand
    twin.recorded = instance.recorded
    twin.authority.grants = dict(instance.authority.grants)
    twin.authority.read_at = dict(instance.authority.read_at)
    twin.authority.position = instance.authority.position
    twin.candidate.sent = dict(instance.candidate.sent)
    twin.candidate.last_append_at = instance.candidate.last_append_at
    twin.orders.orders = dict(instance.orders.orders)
    outstanding_orders = instance.orders.outstanding_orders
    twin.orders.outstanding_orders = {
        SCOPE: dict(outstanding_orders.get(SCOPE, {}))
    }
    twin.orders.reports = dict(instance.orders.reports)
    twin.orders.reported_at = dict(instance.orders.reported_at)
    twin.orders.position = instance.orders.position
    twin.dispatch.grant = instance.dispatch.grant
    twin.dispatch.granted_at = instance.dispatch.granted_at
    for name, engine_sends in instance.dispatch.sends.items():
        copied = twin.dispatch.find_sends(name)
        for field in engine_sends.__slots__:
            setattr(copied, field, getattr(engine_sends, field))
    return twin


def _key_shared(world: World, mirrored: int) -> tuple[Any, ...]:
    appends = (
        (append.sender ^ mirrored, append.word) for append in world.appends
    )
    messages = (
        (
            message.sender ^ mirrored,
            message.order.number,
            message.token,
            world.now - message.written_at,
        )
        for message in world.messages
    )
    return (
        tuple(engine.key for engine in world.engines),
        tuple((who ^ mirrored, what) for who, what in world.history),
        frozenset(appends),
        frozenset(messages),
    )


def _key_instance(instance: Instance, now: int) -> tuple[Any, ...]:
    grant = instance.authority.find_grant(SCOPE)
    sent = instance.candidate.sent
    sends = instance.dispatch.sends
    known = (instance.position, grant.last, instance.recorded)
    ages = (
        _age(instance.authority.read_at.get(SCOPE), now, _LEASE_TICKS),
        _age(sent.get(grant.after), now, _LEASE_TICKS),
        _age(sent.get(grant.last), now, _LEASE_TICKS),
        _age(instance.dispatch.granted_at, now, _GATE_TICKS),
    )
    in_hand = tuple(
        (held.order.number, held.token, now - held.checked_at)
        for held in instance.in_hand
    )
    token = instance.dispatch.grant and instance.dispatch.grant.token
    sending = tuple(
        _key_sends(engine_sends, now) for engine_sends in sends.values()
    )
    return known, ages, in_hand, token, sending


def _key_sends(engine_sends: EngineSends, now: int) -> tuple[Any, ...]:
    return (
        engine_sends.sending,
        engine_sends.cleared,
        _age(engine_sends.read_back, now, 1),
        engine_sends.unanswered,
        _age(engine_sends.unanswered_at, now, 2),
    )


def _age(moment: float | None, now: int, cap: int) -> float | None:
    """Return an age, alike for all that no timing tells apart."""
    return None if moment is None else min(now - moment, cap)
