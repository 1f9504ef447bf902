"""Places an attempt: chooses its endpoint, claims its key, assigns its ID."""

import asyncio
import dataclasses
from collections.abc import Collection
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._fleet import FleetView, is_lost
from verbenahall.front._progress import (
    PlacedAttempt,
    Progress,
    adjust_problem,
    build_routing_request,
)
from verbenahall.journal import write_decision
from verbenahall.requests import AttemptIds
from verbenahall.routing import Candidate, Choice, RoutingState, choose_endpoint

#: Logged as the age of the load report if there is none, in seconds.
_NO_REPORT_AGE_S: Final = 1e9


@final
class Placer:
    """Chooses the endpoint of each attempt."""

    def __init__(
        self,
        dependencies: FrontDependencies,
        fleet: FleetView,
        routing: RoutingState,
        ids: AttemptIds,
    ) -> None:
        """Store the states and the source of attempt IDs."""
        self._dependencies = dependencies
        self._fleet = fleet
        self._routing = routing
        self._ids = ids

    async def place(self, progress: Progress) -> Result[PlacedAttempt, Problem]:
        """Return a placed attempt, or the problem that prevents it."""
        chosen = self._choose(progress)
        if isinstance(chosen, Failure):
            return chosen.alt(lambda problem: adjust_problem(problem, progress))
        claimed = await self._claim(progress)
        if isinstance(claimed, Failure):
            return claimed
        remaining = progress.call.head.deadline - self._dependencies.clock()
        if remaining <= 0:
            return Failure(adjust_problem(_build_deadline_problem(), progress))
        progress.attempts += 1
        choice = chosen.unwrap()
        attempt = self._ids.next_id()
        self._log_route(progress, choice, attempt)
        return Success(PlacedAttempt(choice.endpoint, attempt, remaining))

    def list_candidates(self, progress: Progress) -> list[Candidate]:
        """Return the endpoints that are eligible for the next attempt."""
        candidates = self._fleet.list_candidates(progress.requirement)
        if not progress.delivered_tokens:
            return list(candidates)
        # A partly delivered answer may only be continued by the same model
        # version; another one would produce a different answer.
        return [
            candidate
            for candidate in candidates
            if self._may_resume(progress, candidate.endpoint.name)
        ]

    def has_successor(self, progress: Progress, names: Collection[str]) -> bool:
        """Whether an endpoint other than ``names`` may take a request over.

        One that has failed the request before may have recovered.
        """
        return any(
            candidate.endpoint.name not in names
            for candidate in self.list_candidates(progress)
        )

    def is_lost(self, progress: Progress) -> bool:
        """Whether no endpoint can be reached for a request."""
        return is_lost(self._fleet, progress.requirement)

    def _choose(self, progress: Progress) -> Result[Choice, Problem]:
        candidates = self.list_candidates(progress)
        now = self._dependencies.clock()
        load = self._dependencies.load
        routing_request = build_routing_request(progress)
        chosen = choose_endpoint(
            self._routing, routing_request, candidates, load, now
        )
        if progress.excluded and isinstance(chosen, Failure):
            # Every endpoint has failed once; one of them may have recovered.
            routing_request = dataclasses.replace(
                routing_request, excluded=frozenset()
            )
            chosen = choose_endpoint(
                self._routing, routing_request, candidates, load, now
            )
        return chosen

    def _may_resume(self, progress: Progress, name: str) -> bool:
        _, model, _ = progress.requirement
        return (
            self._fleet.can_resume(name)
            and self._fleet.get_version(name, model) == progress.version
        )

    def _log_route(
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
            load=round(choice.load_estimate.load, 2),
            age_s=min(round(choice.load_estimate.age_s, 3), _NO_REPORT_AGE_S),
            reason=choice.reason,
            settings_offset=self._dependencies.read_position(),
        )

    async def _claim(self, progress: Progress) -> Result[int, Problem]:
        """Claim the key of a keyed call before any of it is sent."""
        if progress.claim_offset is not None or not progress.needs_claim:
            return Success(0)
        head = progress.call.head
        remaining = head.deadline - self._dependencies.clock()
        try:
            async with asyncio.timeout(remaining):
                claimed = await self._dependencies.claim(
                    head.ticket.workspace,
                    head.key,
                )
        except TimeoutError:
            return Failure(_build_deadline_problem())
        progress.claim_offset = claimed.value_or(None)
        return claimed


def _build_deadline_problem() -> Problem:
    message = 'the deadline passed before the request was sent'
    return Problem(ErrorKind.DEADLINE_EXCEEDED, message, Ran.NO)
