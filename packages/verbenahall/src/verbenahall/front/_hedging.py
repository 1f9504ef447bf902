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
from verbenahall.front._race import Race
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
        race.begin(placed, self._exchange.run(placed, progress, sender))
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
                result = ended.task.result()
                if isinstance(result, Success):
                    return result
                progress.excluded |= {ended.placed.endpoint.name}
            if not race.is_silent(self._is_unresponsive):
                continue
            if self._should_leave(progress):
                self._record_silence(race)
                return Failure(_UNRESPONSIVE)
            await self._hedge(race, progress, sender)
        return result

    async def _hedge(
        self, race: Race, progress: Progress, sender: Sender[Any]
    ) -> None:
        """Make an attempt beside those that are open, if one is allowed."""
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
            placed = result.unwrap()
            race.begin(placed, self._exchange.run(placed, progress, sender))

    def _should_leave(self, progress: Progress) -> bool:
        """Whether a peer has to serve the request, as no endpoint here can."""
        peers = self._dependencies.peers
        return (
            progress.may_leave
            and peers is not None
            and bool(peers.list_live())
            and self._placer.is_lost(progress)
        )

    def _record_silence(self, race: Race) -> None:
        """Count the silence of endpoints as failures, once per attempt."""
        for placed in race.take_unrecorded():
            record_outcome(
                self._dependencies, placed.endpoint, Failure(_UNRESPONSIVE)
            )

    def _is_unresponsive(self, name: str) -> bool:
        now = self._dependencies.clock()
        status = self._dependencies.find_status(name, now)
        return status is EndpointStatus.SILENT
