"""Runs an engine's batch in real time, scaled by a speed factor."""

import asyncio
import dataclasses
from typing import Any

from verbenahall import clock
from verbenahall.fleet import Role
from verbenahall_standins.batch import Batch, Job, Step


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Reported load: running and queued jobs, free share of KV cache."""

    running: int
    queued: int
    kv_free_share: float


class Progress:
    """Progress of one job, on which its request handler waits."""

    __slots__ = ('_changed', 'cancelled', 'job')

    def __init__(self, job: Job) -> None:
        """Track a job that has not started yet."""
        self.job = job
        self.cancelled = False
        self._changed = asyncio.Event()

    async def wait_for_more(self, produced: int) -> int:
        """Wait for more than ``produced`` tokens or for the end of the job.

        Returns the number of tokens produced.
        """
        while self.job.produced <= produced and not self.is_finished:
            self._changed.clear()
            await self._changed.wait()
        return self.job.produced

    @property
    def is_finished(self) -> bool:
        """Whether the job is done or cancelled."""
        return self.cancelled or self.job.is_done

    def notify(self) -> None:
        """Wake the request handler."""
        self._changed.set()


class Worker:
    """Runs the batch's steps; ``speed`` divides their durations."""

    __slots__ = ('_speed', '_task', '_wake', 'active', 'batch', 'instant_count')

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
        """Whether no request is in flight."""
        return self.batch.is_idle and not self.instant_count

    @property
    def load(self) -> Load:
        """The current load."""
        running = self.batch.running + self.instant_count
        free = round(self.batch.kv_free_share, 3)
        return Load(running, self.batch.queued, free)

    async def run_in_background(self, app: Any) -> Any:
        """Run the worker between the application's start-up and clean-up."""
        self._task = asyncio.create_task(self._run())
        yield
        self._task.cancel()

    def start(self, job: Job) -> Progress:
        """Queue a job and return its progress."""
        progress = Progress(job)
        self.active[job.job_id] = progress
        self.batch.add(job)
        self._wake.set()
        return progress

    def release(self, progress: Progress) -> None:
        """Cancel a job if it is unfinished, and remove it."""
        if not progress.is_finished:
            self.batch.cancel(progress.job.job_id)
            progress.cancelled = True
            progress.notify()
        self.active.pop(progress.job.job_id, None)

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
            progress = self.active.get(job.job_id)
            if progress is not None:
                progress.notify()
