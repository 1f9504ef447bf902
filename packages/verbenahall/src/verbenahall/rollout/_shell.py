"""The controller: lease, plan, record, send, for one data centre."""

import asyncio
from collections.abc import Mapping, Sequence
from time import thread_time
from typing import Any, Final, Protocol

from returns.result import Result, Success

from verbenahall.authority import LeaseKeeper
from verbenahall.clock import Clock, monotonic
from verbenahall.errors import Problem
from verbenahall.fleet import Role
from verbenahall.orders import (
    Dispatch,
    OrderSender,
    OrdersState,
    PlannedOrder,
    encode_batch,
    list_withdrawals,
    outstanding,
    take_over,
)
from verbenahall.records import ORDERS_STREAM
from verbenahall.rollout._engines import EngineClient
from verbenahall.rollout._messages import RolloutLimits, Waiting
from verbenahall.rollout._plan import plan
from verbenahall.rollout._decision_log import log_placed, log_waiting
from verbenahall.rollout._tasks import Tasks
from verbenahall.rollout._views import Member, build_views
from verbenahall.settings import EffectiveSettings

_TICK_S: Final = 0.1
#: How many times as long as a plan takes nothing is planned after it. A plan's
#: cost grows with the data centre, the time spent on plans must not. Processor
#: time counts: after a freeze of 2.5 s in a plan, which costs nothing, a holder
#: would order nothing for two minutes.
_REST: Final = 50
#: How long to wait for a record whose append had no clear answer.
_RECORD_WAIT_S: Final = 2.0
_RECORD: Final = 'record'
_DEFAULT_LIMITS: Final = RolloutLimits()


class Appender(Protocol):
    """The part of ``verbenahall.log.LogClient`` that the controller uses."""

    async def append(
        self,
        stream: str,
        body: dict[str, Any],
    ) -> Result[int, Problem]:
        """Append one record; its offset, or why it is not known."""


class Surroundings(Protocol):
    """What the controller reads anew at each step."""

    def read_settings(self) -> EffectiveSettings:
        """Return the settings in force."""

    def list_engines(self, now: float) -> Sequence[Member]:
        """Return the data centre's engines with their standing."""

    def read_roles(self) -> Mapping[str, Role]:
        """Return the role planner's wish for engines of automatic pools."""


class Controller:
    """Brings the engines of one data centre to the settings in force.

    Every instance runs one. Without the lease it only follows the engines
    that have an order outstanding, so that its routing knows of them.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        order_state: OrdersState,
        keeper: LeaseKeeper,
        client: Appender,
        sender: OrderSender,
        dispatch: Dispatch,
        limits: RolloutLimits = _DEFAULT_LIMITS,
        clock: Clock = monotonic,
    ) -> None:
        """Prepare; nothing is asked or sent before ``run``."""
        self._surroundings = surroundings
        self._orders = order_state
        self._keeper = keeper
        self._client = client
        self._sender = sender
        self._dispatch = dispatch
        self._limits = limits
        self._clock = clock
        self._scope = keeper.candidacy.scope
        self._tasks = Tasks()
        self._talk = EngineClient(
            order_state,
            dispatch,
            sender,
            self._tasks,
            clock,
        )
        self._recording: frozenset[str] = frozenset()
        self._wait_offset = 0
        self._wait_until = -float('inf')
        self._waiting: frozenset[Waiting] = frozenset()

    async def run(self) -> None:
        """Plan and send until cancelled, then end what is under way."""
        try:
            while True:
                self._take_step()
                await asyncio.sleep(_TICK_S)
        finally:
            await self._tasks.stop()
            await self._sender.close()

    def _take_step(self) -> None:
        now = self._clock()
        members = self._surroundings.list_engines(now)
        token = self._keeper.held(self._scope, now)
        due = outstanding(self._orders, self._scope)
        busy = {order.engine for order in due}
        self._talk.poll_states(
            members, now, busy, holds_lease=token is not None
        )
        if token is None:
            return
        grant = self._orders.authority.find_grant(self._scope)
        take_over(self._dispatch, grant, now)
        is_planned = self._is_settled(now)
        if is_planned:
            self._plan_and_rest(members, token, now)
        # An order that is just being superseded is not sent, nor one of an
        # earlier holder in a step without a plan: a new holder would take
        # the engine away for its predecessor's target first and for its own
        # right after.
        kept = [
            order
            for order in due
            if order.engine not in self._recording
            and (is_planned or order.token == token)
        ]
        self._talk.send_due(members, kept, now)

    def _is_settled(self, now: float) -> bool:
        """Tell whether the last batch has been read back or given up.

        Planning again before would record the same orders twice.
        """
        if self._tasks.is_running(_RECORD):
            return False
        if self._orders.position < self._wait_offset:
            return False
        return now >= self._wait_until

    def _plan_and_rest(
        self,
        members: Sequence[Member],
        token: int,
        now: float,
    ) -> None:
        started = thread_time()
        self._plan(members, token, now)
        rest_s = _REST * (thread_time() - started)
        self._wait_until = max(self._wait_until, now + rest_s)

    def _plan(
        self,
        members: Sequence[Member],
        token: int,
        now: float,
    ) -> None:
        withdrawals = list_withdrawals(
            self._dispatch,
            self._orders,
            self._scope,
            now,
        )
        views = build_views(members, self._orders, self._dispatch, now)
        rollout = plan(
            self._surroundings.read_settings(),
            self._scope,
            views,
            self._surroundings.read_roles(),
            self._limits,
        )
        waiting = frozenset(rollout.waiting)
        log_waiting(waiting - self._waiting)
        self._waiting = waiting
        planned = (*withdrawals, *rollout.orders)
        self._recording = frozenset(order.engine for order in planned)
        if planned:
            self._tasks.start(_RECORD, self._record(planned, token))

    async def _record(
        self,
        planned: Sequence[PlannedOrder],
        token: int,
    ) -> None:
        body = encode_batch(self._scope, token, planned)
        appended = await self._client.append(ORDERS_STREAM, body)
        if isinstance(appended, Success):
            self._wait_offset = appended.unwrap()
            log_placed(planned, self._wait_offset)
        else:
            # The record may stand or not; the follower will show it.
            self._wait_until = self._clock() + _RECORD_WAIT_S
