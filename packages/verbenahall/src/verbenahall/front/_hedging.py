"""Makes a second attempt beside one whose endpoint is silent."""

from collections.abc import Callable
from typing import Any, Final, final

from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.fleet import EndpointStatus
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._exchange import Exchange
from verbenahall.front._feedback import record_outcome
from verbenahall.front._placement import Placer
from verbenahall.front._progress import PlacedAttempt, Progress, Sender, Sent
from verbenahall.front._race import AT_PEER, Race
from verbenahall.requests import Broken, GiveUp, Outcome, Retry

#: The outcome of an attempt whose endpoint is silent.
_UNRESPONSIVE: Final = Broken('the endpoint is unresponsive')

DecideRetry = Callable[[Progress, Outcome], Retry | GiveUp]


@final
class Hedging:
    """Runs an attempt, and others beside it while its endpoint is silent.

    A silent endpoint may be paused and go on, so its attempt stays open until
    another one has a part of the answer. If no other may be made, or it fails,
    the first one is awaited until the deadline. ``decide_retry`` decides on
    further attempts and charges the retry budget.
    """

    __slots__ = (
        '_decide_retry',
        '_dependencies',
        '_exchange',
        '_placer',
        '_races',
    )

    def __init__(
        self,
        dependencies: FrontDependencies,
        placer: Placer,
        decide_retry: DecideRetry,
    ) -> None:
        """Start without open requests."""
        self._decide_retry = decide_retry
        self._dependencies = dependencies
        self._exchange = Exchange(dependencies)
        self._placer = placer
        self._races: set[Race] = set()

    async def run(
        self,
        placed: PlacedAttempt,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Outcome]:
        """Return the first success, or the last failure."""
        race = Race(self._dependencies.clock)
        progress.claim = race.claim
        self._races.add(race)
        self._begin(race, placed, progress, sender)
        try:
            return await self._finish(race, progress, sender)
        finally:
            self._races.discard(race)
            await race.close()

    def wake_silent(self) -> None:
        """Let the requests whose endpoints are silent try another one.

        A paused or partitioned endpoint keeps its connection open without
        sending anything, so the caller would wait until the deadline.
        """
        for race in self._races:
            if race.is_silent(self._is_unresponsive):
                race.wake()

    async def _finish(
        self, race: Race, progress: Progress, sender: Sender[Sent]
    ) -> Result[Sent, Outcome]:
        result: Result[Sent, Outcome] = Failure(_UNRESPONSIVE)
        while race.open:
            await race.wait()
            for ended in race.take_ended():
                latest = ended.task.result()
                if isinstance(latest, Success):
                    return latest
                if ended.endpoint is not None:
                    result = latest
                    progress.excluded |= {ended.endpoint.name}
            if race.is_silent(self._is_unresponsive):
                await self._hedge(race, progress, sender)
        return result

    async def _hedge(
        self, race: Race, progress: Progress, sender: Sender[Any]
    ) -> None:
        """Make an attempt beside those that are open, if one is allowed."""
        if self._may_forward(progress):
            self._record_silence(race)
            progress.may_have_run = True
            race.begin(AT_PEER, None, progress.forward())
            # A peer that fails the request would fail it again.
            progress.forward = None
            return
        names = race.list_endpoints()
        if not self._placer.has_successor(progress, names):
            return
        step = self._decide_retry(progress, _UNRESPONSIVE)
        if isinstance(step, GiveUp):
            return
        self._record_silence(race)
        progress.excluded |= names
        result = await self._placer.place(progress)
        if isinstance(result, Success):
            metrics.RETRIES.add(step.reason)
            self._begin(race, result.unwrap(), progress, sender)

    def _begin(
        self,
        race: Race,
        placed: PlacedAttempt,
        progress: Progress,
        sender: Sender[Any],
    ) -> None:
        sending = self._exchange.run(placed, progress, sender)
        race.begin(placed.attempt, placed.endpoint, sending)

    def _may_forward(self, progress: Progress) -> bool:
        """Whether a peer may serve the request, as no endpoint here can."""
        peers = self._dependencies.peers
        return (
            progress.may_leave
            and peers is not None
            and bool(peers.list_live())
            and self._placer.is_lost(progress)
        )

    def _record_silence(self, race: Race) -> None:
        """Count the silence of endpoints as failures, once per attempt."""
        for endpoint in race.take_unrecorded():
            record_outcome(self._dependencies, endpoint, Failure(_UNRESPONSIVE))

    def _is_unresponsive(self, name: str) -> bool:
        now = self._dependencies.clock()
        status = self._dependencies.find_status(name, now)
        return status is EndpointStatus.SILENT
