"""Runs the branches of a hedged request; the first answer wins.

An endpoint that sends nothing may be gone, or may go on a moment later. Its
connection is therefore kept open while another attempt is made, and closed
only when that attempt has an event or an answer.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, Generic, TypeVar, final

from returns.result import Failure, Result

from verbenahall.hedging._change import Change
from verbenahall.hedging._stage import Stage, is_superseded
from verbenahall.hedging._timer import SilenceTimer

Answer = TypeVar('Answer')
Problem = TypeVar('Problem')

#: Time after which it is checked again whether a silent branch may be hedged,
#: in seconds: another endpoint or retry may have become available.
_RECHECK_S: Final = 0.2


def _never() -> bool:
    """Return False: nothing can be hedged yet."""
    return False


@final
class Branch:
    """A sequence of attempts at a request, each after the last one failed.

    ``stage`` is that of the present attempt. ``superseded_by`` is the stage by
    which another branch has made this one useless; its task is then cancelled.
    """

    __slots__ = (
        'may_hedge',
        'silent_at',
        'stage',
        'superseded_by',
        'task',
        '_race',
    )

    def __init__(self, race: 'Race[Any, Any]') -> None:
        """Start without an attempt."""
        #: Whether another branch may begin if this one is silent.
        self.may_hedge: Callable[[], bool] = _never
        #: When it counts as silent, in seconds of the event loop; None if it
        #: waits for something other than an endpoint.
        self.silent_at: float | None = None
        self.stage = Stage.PREPARING
        self.superseded_by: Stage | None = None
        self.task: asyncio.Task[Any] | None = None
        self._race = race

    @property
    def is_superseded(self) -> bool:
        """Whether another branch has made this one useless."""
        return self.superseded_by is not None

    @property
    def is_alone(self) -> bool:
        """Whether no other branch is open."""
        return self._list_unfinished() == [self]

    def may_retry(self, *, ran: bool) -> bool:
        """Whether another attempt may follow one that has failed.

        While several branches are open, only the newest makes further
        attempts, and none after one that may have run (``ran``).
        """
        is_newest = self._list_unfinished()[-1:] == [self]
        return self.is_alone or (is_newest and not ran)

    def enter(self, stage: Stage) -> None:
        """Enter a stage, which ends the branches that it supersedes.

        A branch that was superseded itself is cancelled once more: a wait that
        was just over may have swallowed the cancellation.
        """
        self.check()
        self.stage = stage
        self._race.supersede(self)
        self._race.change.notify()

    async def wait_for_turn(self, *, is_unprepared: bool = False) -> None:
        """Wait while the request is at the endpoint of another branch.

        For requests that only one branch at a time may send. A branch whose
        prompt is not prefilled (``is_unprepared``) waits for those whose prompt
        may still be, too.
        """
        while any(
            is_unprepared or other.stage is not Stage.PREPARING
            for other in self._list_unfinished()
            if other is not self
        ):
            await self._race.change.wait()
        self.check()

    def end_others(self) -> None:
        """End all other branches, whose attempts can't help any more."""
        self._race.end_others(self)

    def check(self) -> None:
        """Raise ``CancelledError`` if the branch was superseded."""
        if self.is_superseded:
            raise asyncio.CancelledError

    def expect_progress(self, within_s: float | None) -> None:
        """Count as silent after ``within_s`` seconds, None for never."""
        self.silent_at = None
        if within_s is not None:
            self.silent_at = asyncio.get_running_loop().time() + within_s
        self._race.watch()

    def _list_unfinished(self) -> 'list[Branch]':
        return [one for one in self._race.branches if not one.task.done()]


@final
class Race(Generic[Answer, Problem]):
    """Runs branches of a request until one has an answer.

    An example::

        race = Race(run_branch)
        result = await race.run()

    ``run_branch`` makes the attempts of a branch. It calls ``enter`` as they
    proceed and ``expect_progress`` whenever it waits for an endpoint.
    ``branches`` are the open ones, the newest last.
    """

    __slots__ = (
        'branches',
        'change',
        '_ended',
        '_last',
        '_run_branch',
        '_superseded',
        '_timer',
    )

    def __init__(self, run_branch: Callable[[Branch], Awaitable[Any]]) -> None:
        """Open no branch before ``run``."""
        self._run_branch = run_branch
        self._ended = asyncio.Event()
        self._last: Result[Answer, Problem] | None = None
        #: A branch has ended or entered a stage.
        self.change = Change()
        self.branches: list[Branch] = []
        self._superseded: list[Branch] = []
        self._timer = SilenceTimer(self._find_silent_at, self._hedge)

    async def run(self) -> Result[Answer, Problem]:
        """Return the first success, or the last failure if there is none.

        Exceptions of a branch that was not superseded are raised.
        """
        self._open_branch()
        try:
            while self.branches:
                await self._ended.wait()
                self._ended.clear()
                self._collect()
        finally:
            await self._close()
        return self._last

    def supersede(self, leader: Branch) -> None:
        """End the branches that are useless at the leader's stage."""
        useless = [
            branch
            for branch in self.branches
            if branch is not leader
            and is_superseded(branch.stage, leader.stage)
        ]
        if useless:
            self._supersede(useless, leader.stage)
            self.watch()

    def end_others(self, leader: Branch) -> None:
        """End all branches but the leader."""
        others = [branch for branch in self.branches if branch is not leader]
        self._supersede(others, leader.stage)
        self.watch()

    def watch(self) -> None:
        """Watch the newest branch, whose times may have changed."""
        self._timer.update()

    def _find_silent_at(self) -> float | None:
        return self.branches[-1].silent_at if self.branches else None

    def _hedge(self) -> None:
        """Open another branch beside the newest one, which is silent."""
        branch = self.branches[-1]
        if branch.may_hedge():
            self._open_branch()
        else:
            branch.expect_progress(_RECHECK_S)

    def _supersede(self, branches: Sequence[Branch], by: Stage) -> None:
        for branch in tuple(branches):
            branch.superseded_by = by
            branch.task.cancel()
            self.branches.remove(branch)
            self._superseded.append(branch)

    def _open_branch(self) -> None:
        branch = Branch(self)
        branch.task = asyncio.create_task(self._run_branch(branch))
        branch.task.add_done_callback(self._wake)
        self.branches.append(branch)

    def _wake(self, ended: asyncio.Task[Any]) -> None:
        self._ended.set()
        self.change.notify()

    def _collect(self) -> None:
        """Take the results of branches that have ended.

        With a success, no branch is needed any longer.
        """
        for branch in tuple(self.branches):
            if not branch.task.done():
                continue
            self.branches.remove(branch)
            self._last = branch.task.result()
            if not isinstance(self._last, Failure):
                self._supersede(self.branches, Stage.ANSWERING)
                return
        self.watch()

    async def _close(self) -> None:
        """Cancel all branches and wait until they have ended."""
        self._timer.close()
        tasks = [one.task for one in (*self.branches, *self._superseded)]
        # Nothing is watched or hedged any longer.
        self.branches.clear()
        self._superseded.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
