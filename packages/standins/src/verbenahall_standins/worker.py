"""Runs one engine's batch against real time, scaled by a speed factor."""

import asyncio
import dataclasses
from typing import Any

from verbenahall import clock
from verbenahall.fleet import Role
from verbenahall_standins.batch import Batch, Job, Step


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What an engine reports: jobs running and queued, free KV share."""

    running: int
    queued: int
    kv_free_share: float


class Progress:
    """One job's way through the engine, as its request handler sees it."""

    __slots__ = ('_changed', 'cancelled', 'job')

    def __init__(self, job: Job) -> None:
        """Start waiting."""
        self.job = job
        self.cancelled = False
        self._changed = asyncio.Event()

    async def wait_for_more(self, produced: int) -> int:
        """Wait until more than ``produced`` tokens exist or it has ended.

        Returns how many exist.
        """
        while self.job.produced <= produced and not self.is_finished:
            self._changed.clear()
            await self._changed.wait()
        return self.job.produced

    @property
    def is_finished(self) -> bool:
        """Whether no more tokens will come."""
        return self.cancelled or self.job.is_done

    def notify(self) -> None:
        """Wake the handler."""
        self._changed.set()


class Worker:
    """Steps the batch while there is work; ``speed`` divides all times."""

    __slots__ = ('_speed', '_task', '_wake', 'batch', 'instant_count', 'active')

    def __init__(self, role: Role, speed: float) -> None:
        """Start idle.

        ``instant_count`` is the number of requests being answered without
        the batch.
        """
        self.batch = Batch(role)
        self.active: dict[str, Progress] = {}
        self.instant_count = 0
        self._speed = speed
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight."""
        return self.batch.is_idle and not self.instant_count

    @property
    def load(self) -> Load:
        """The load of this moment."""
        running = self.batch.running + self.instant_count
        free = round(self.batch.kv_free_share, 3)
        return Load(running, self.batch.queued, free)

    async def run_in_background(self, app: Any) -> Any:
        """Run between the application's start-up and clean-up."""
        self._task = asyncio.create_task(self._run())
        yield
        self._task.cancel()

    def start(self, job: Job) -> Progress:
        """Queue a job."""
        progress = Progress(job)
        self.active[job.identity] = progress
        self.batch.add(job)
        self._wake.set()
        return progress

    def release(self, progress: Progress) -> None:
        """Cancel what is left of a job and forget it."""
        if not progress.is_finished:
            self.batch.cancel(progress.job.identity)
            progress.cancelled = True
            progress.notify()
        self.active.pop(progress.job.identity, None)

    async def _run(self) -> None:
        ready_at = clock.monotonic()
        while True:
            if self.batch.is_idle:
                self._wake.clear()
                await self._wake.wait()
                ready_at = clock.monotonic()
            step = self.batch.step()
            ready_at += step.duration_s / self._speed
            await asyncio.sleep(max(0, ready_at - clock.monotonic()))
            self._notify(step)

    def _notify(self, step: Step) -> None:
        for job in (*step.produced, *step.finished):
            progress = self.active.get(job.identity)
            if progress is not None:
                progress.notify()
