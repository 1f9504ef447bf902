"""The controller of one data centre: plans, records and sends orders."""

import asyncio
from collections.abc import Mapping, Sequence
from time import thread_time
from typing import Any, Final, Protocol

from returns.result import Result, Success

from verbenahall.authority import LeaseManager
from verbenahall.clock import Clock, monotonic
from verbenahall.errors import Problem
from verbenahall.fleet import Role
from verbenahall.orders import (
    Dispatch,
    OrderSender,
    OrdersState,
    PlannedOrder,
    encode_batch,
    list_outstanding,
    list_withdrawals,
    update_grant,
)
from verbenahall.records import ORDERS_STREAM
from verbenahall.rollout._decision_log import log_placed, log_waiting
from verbenahall.rollout._engines import EngineClient
from verbenahall.rollout._messages import RolloutLimits, Waiting
from verbenahall.rollout._plan import plan
from verbenahall.rollout._tasks import Tasks
from verbenahall.rollout._views import Member, build_views
from verbenahall.settings import EffectiveSettings

#: Interval of the controller's steps, in seconds.
_STEP_INTERVAL_S: Final = 0.1
#: Pause after a plan, as a multiple of the time that the plan took. The cost of
#: a plan grows with the data centre, but the share of time spent on plans must
#: not. Processor time is used: with wall time, a holder that is frozen for
#: 2.5 s during a plan would order nothing for two minutes.
_PLAN_PAUSE_FACTOR: Final = 50
#: Time in seconds to wait for a record whose append has an unknown outcome.
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
        """Append one record; return its offset, or why it is unknown."""


class Dependencies(Protocol):
    """Data that the controller reads at each step."""

    def read_settings(self) -> EffectiveSettings:
        """Return the settings in force."""

    def list_engines(self, now: float) -> Sequence[Member]:
        """Return the data centre's engines with their status."""

    def read_roles(self) -> Mapping[str, Role]:
        """Return the planned roles of engines in automatic pools."""


class Controller:
    """Changes the engines of one data centre to match the settings.

    Every instance runs one. Without the lease it only polls the engines that
    have an outstanding order, so that its routing uses their current state.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        order_state: OrdersState,
        lease_manager: LeaseManager,
        client: Appender,
        sender: OrderSender,
        dispatch: Dispatch,
        limits: RolloutLimits = _DEFAULT_LIMITS,
        clock: Clock = monotonic,
    ) -> None:
        """Create the controller; nothing is sent before ``run``."""
        self._dependencies = dependencies
        self._orders = order_state
        self._lease_manager = lease_manager
        self._client = client
        self._sender = sender
        self._dispatch = dispatch
        self._limits = limits
        self._clock = clock
        self._scope = lease_manager.candidate.scope
        self._tasks = Tasks()
        self._engine_client = EngineClient(
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
        """Plan and send until cancelled, then cancel the open tasks."""
        try:
            while True:
                self._run_step()
                await asyncio.sleep(_STEP_INTERVAL_S)
        finally:
            await self._tasks.stop()
            await self._sender.close()

    def _run_step(self) -> None:
        now = self._clock()
        members = self._dependencies.list_engines(now)
        token = self._lease_manager.find_token(self._scope, now)
        due = list_outstanding(self._orders, self._scope)
        busy = {order.engine for order in due}
        self._engine_client.poll_states(
            members, now, busy, holds_lease=token is not None
        )
        if token is None:
            return
        grant = self._orders.authority.find_grant(self._scope)
        update_grant(self._dispatch, grant, now)
        is_planned = self._may_plan(now)
        if is_planned:
            self._plan_and_pause(members, token, now)
        # An order that is just being replaced is not sent. In a step without
        # a plan, neither is an order of an earlier holder: otherwise a new
        # holder could have the engine change to its predecessor's target and
        # to its own right after.
        kept = [
            order
            for order in due
            if order.engine not in self._recording
            and (is_planned or order.token == token)
        ]
        self._engine_client.send_due(members, kept, now)

    def _may_plan(self, now: float) -> bool:
        """Return whether a new plan may be made at ``now``.

        That is when the last batch has been read back or its wait has ended,
        as an earlier plan would record the same orders twice, and when the
        pause after the last plan is over.
        """
        if self._tasks.is_running(_RECORD):
            return False
        if self._orders.position < self._wait_offset:
            return False
        return now >= self._wait_until

    def _plan_and_pause(
        self,
        members: Sequence[Member],
        token: int,
        now: float,
    ) -> None:
        started = thread_time()
        self._plan(members, token, now)
        pause_s = _PLAN_PAUSE_FACTOR * (thread_time() - started)
        self._wait_until = max(self._wait_until, now + pause_s)

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
            self._dependencies.read_settings(),
            self._scope,
            views,
            self._dependencies.read_roles(),
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
            # The record may be in the log; the follower reads it in that case.
            self._wait_until = self._clock() + _RECORD_WAIT_S
