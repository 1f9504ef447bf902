"""Gives model requests their engines: a scheduler's, or an own choice."""

from typing import final

from returns.maybe import Some
from returns.result import Failure, Result

from verbenahall import metrics
from verbenahall.errors import Problem
from verbenahall.gateway._assignments import Assignments
from verbenahall.gateway._core import Core
from verbenahall.gateway._grants import Grant, LocalGrant
from verbenahall.gateway._messages import Call
from verbenahall.gateway._prefill_queues import PrefillQueues
from verbenahall.placement import PlacementRequest


@final
class Dispatch:
    """Asks the scheduler of the engines first, and decides without it."""

    __slots__ = ('_assignments', '_core', '_queues')

    def __init__(self, core: Core, assignments: Assignments) -> None:
        """Ask for assignments; the queue for own choices is empty."""
        self._assignments = assignments
        self._core = core
        self._queues = PrefillQueues(core)

    async def admit(
        self,
        call: Call,
        wanted: PlacementRequest,
        tried: frozenset[str],
    ) -> Result[Grant, Problem]:
        """Wait to be admitted; whoever gets a grant must end it."""
        scheduled = await self._assignments.ask(call, wanted, tried)
        if isinstance(scheduled, Some):
            grant_result = scheduled.unwrap()
            if isinstance(grant_result, Failure):
                metrics.SHED.add(str(call.priority))
            return grant_result
        pending = await self._queues.admit(call, wanted, tried)
        return pending.map(
            lambda admitted: LocalGrant(
                self._core,
                self._queues,
                call,
                admitted,
            ),
        )
