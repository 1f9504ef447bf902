"""Places an attempt: route, claim, name."""

import asyncio
import dataclasses
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.front._fleet import FleetView
from verbenahall.front._dependencies import Parts
from verbenahall.front._progress import (
    Placed,
    Progress,
    ask_routing,
    recall_doubt,
)
from verbenahall.journal import write_decision
from verbenahall.requests import AttemptNames
from verbenahall.routing import Candidate, Choice, RoutingState, choose

#: Shown as the age of a report that was never heard, in seconds.
_NEVER_HEARD_S: Final = 1e9


@final
class Placer:
    """Finds the endpoint of each attempt."""

    def __init__(
        self,
        parts: Parts,
        fleet: FleetView,
        routing: RoutingState,
        names: AttemptNames,
    ) -> None:
        """Keep what the choice reads."""
        self._parts = parts
        self._fleet = fleet
        self._routing = routing
        self._names = names

    async def place(self, progress: Progress) -> Result[Placed, Problem]:
        """Choose an endpoint and name the attempt, or say why not."""
        chosen = self._choose(progress)
        if isinstance(chosen, Failure):
            return chosen.alt(lambda found: recall_doubt(found, progress))
        claimed = await self._claim(progress)
        if isinstance(claimed, Failure):
            return claimed
        remaining = progress.call.head.deadline - self._parts.clock()
        if remaining <= 0:
            return Failure(recall_doubt(_describe_late(), progress))
        progress.attempts += 1
        choice = chosen.unwrap()
        attempt = self._names.next_name()
        self._write_route(progress, choice, attempt)
        return Success(Placed(choice.endpoint, attempt, remaining))

    def list_candidates(self, progress: Progress) -> list[Candidate]:
        """Return the endpoints that may take the next attempt."""
        candidates = self._fleet.candidates(progress.wanted)
        if not progress.delivered:
            return list(candidates)
        # The rest of an answer may only come from the same model version,
        # or the caller would read two halves of different answers.
        return [
            candidate
            for candidate in candidates
            if self._may_go_on(progress, candidate.endpoint.name)
        ]

    def _choose(self, progress: Progress) -> Result[Choice, Problem]:
        candidates = self.list_candidates(progress)
        now = self._parts.clock()
        load = self._parts.load
        question = ask_routing(progress)
        chosen = choose(self._routing, question, candidates, load, now)
        if progress.excluded and isinstance(chosen, Failure):
            # All have failed once; the one that did so may have recovered.
            question = dataclasses.replace(question, excluded=frozenset())
            chosen = choose(self._routing, question, candidates, load, now)
        return chosen

    def _may_go_on(self, progress: Progress, name: str) -> bool:
        _, model, _ = progress.wanted
        return (
            self._fleet.can_resume(name)
            and self._fleet.version_of(name, model) == progress.version
        )

    def _write_route(
        self,
        progress: Progress,
        choice: Choice,
        attempt: str,
    ) -> None:
        write_decision(
            'route',
            request=progress.call.head.request,
            workspace=progress.call.head.ticket.workspace,
            attempt=attempt,
            number=progress.attempts,
            chosen=choice.endpoint.name,
            over=choice.over,
            load=round(choice.belief.load, 2),
            age_s=min(round(choice.belief.age_s, 3), _NEVER_HEARD_S),
            reason=choice.reason,
            settings_offset=self._parts.position(),
        )

    async def _claim(self, progress: Progress) -> Result[int, Problem]:
        """Win the key before the first byte of a keyed call is written."""
        if progress.claim is not None or not progress.needs_claim:
            return Success(0)
        head = progress.call.head
        remaining = head.deadline - self._parts.clock()
        try:
            async with asyncio.timeout(remaining):
                claimed = await self._parts.claim(
                    head.ticket.workspace,
                    head.key,
                )
        except TimeoutError:
            return Failure(_describe_late())
        progress.claim = claimed.value_or(None)
        return claimed


def _describe_late() -> Problem:
    message = 'the deadline passed before the request was sent'
    return Problem(ErrorKind.DEADLINE_EXCEEDED, message, Ran.NO)
