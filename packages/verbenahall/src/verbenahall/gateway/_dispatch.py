"""Assigns engines to model requests, by a scheduler or locally."""

from typing import final

from returns.maybe import Some
from returns.result import Failure, Result

from verbenahall import metrics
from verbenahall.errors import Problem
from verbenahall.gateway._core import Core
from verbenahall.gateway._grants import Grant, LocalGrant
from verbenahall.gateway._messages import Call
from verbenahall.gateway._prefill_queues import PrefillQueues
from verbenahall.gateway._scheduler_client import SchedulerClient
from verbenahall.placement import PlacementRequest


@final
class Dispatch:
    """Requests engines from a scheduler, or chooses them without one."""

    __slots__ = ('_core', '_queues', '_scheduler_client')

    def __init__(self, core: Core, scheduler_client: SchedulerClient) -> None:
        """Start with empty local queues."""
        self._scheduler_client = scheduler_client
        self._core = core
        self._queues = PrefillQueues(core)

    async def admit(
        self,
        call: Call,
        placement_request: PlacementRequest,
        tried: frozenset[str],
    ) -> Result[Grant, Problem]:
        """Wait for engines; the calling code must end the grant that it gets.

        Engines in ``tried`` have failed an attempt at the call before.
        """
        scheduled = await self._scheduler_client.request_assignment(
            call, placement_request, tried
        )
        if isinstance(scheduled, Some):
            grant_result = scheduled.unwrap()
            if isinstance(grant_result, Failure):
                metrics.SHED.add(str(call.priority))
            return grant_result
        pending = await self._queues.admit(call, placement_request, tried)
        return pending.map(
            lambda admitted: LocalGrant(
                self._core,
                self._queues,
                call,
                admitted,
            ),
        )
