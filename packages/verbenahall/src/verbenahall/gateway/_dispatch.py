"""Gives model requests their engines: a scheduler's, or an own choice."""

from typing import final

from returns.maybe import Some
from returns.result import Result

from verbenahall.errors import Problem
from verbenahall.gateway._assignments import Assignments
from verbenahall.gateway._core import Core
from verbenahall.gateway._grants import Grant, LocalGrant
from verbenahall.gateway._messages import Call
from verbenahall.gateway._turns import ReadTurns
from verbenahall.placement import Wish


@final
class Dispatch:
    """Asks the scheduler of the engines first, and decides without it."""

    __slots__ = ('_assignments', '_core', '_turns')

    def __init__(self, core: Core, assignments: Assignments) -> None:
        """Ask for assignments; the queue for own choices is empty."""
        self._assignments = assignments
        self._core = core
        self._turns = ReadTurns(core)

    async def take(
        self,
        call: Call,
        wish: Wish,
        tried: frozenset[str],
    ) -> Result[Grant, Problem]:
        """Wait for the turn; whoever gets a grant must end it."""
        scheduled = await self._assignments.ask(call, wish, tried)
        if isinstance(scheduled, Some):
            return scheduled.unwrap()
        turn = await self._turns.take(call, wish, tried)
        return turn.map(
            lambda admitted: LocalGrant(
                self._core,
                self._turns,
                call,
                admitted,
            ),
        )
