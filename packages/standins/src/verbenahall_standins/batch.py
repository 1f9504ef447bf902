"""Continuous batching with the cost model, without a clock or a socket.

The engine stand-in runs it in real time, the simulation in its event loop::

    batch = Batch(Role.MIXED)
    batch.add(Job('a-1', priority=1, prompt=900, output=20))
    step = batch.step()
    # After step.duration_s, each job in step.produced has one more token.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Iterator

from verbenahall.fleet import Role
from verbenahall_standins import cost


@dataclasses.dataclass(slots=True)
class Job:
    """One request: its token counts and its progress.

    ``prefilled`` starts above 0 if the prefix cache or an imported KV cache
    holds part of the prompt.
    """

    job_id: str
    priority: int
    prompt: int
    output: int
    prefilled: int = 0
    produced: int = 0

    @property
    def size(self) -> int:
        """Tokens of KV cache that the job needs at its end."""
        return self.prompt + self.output

    @property
    def held_tokens(self) -> int:
        """Tokens that the job holds in the KV cache now."""
        return self.prefilled + self.produced

    @property
    def is_decoding(self) -> bool:
        """Whether the whole prompt is in the KV cache."""
        return self.prefilled >= self.prompt

    @property
    def is_done(self) -> bool:
        """Whether the whole output has been produced."""
        return self.is_decoding and self.produced >= self.output


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one step: its duration and the jobs it advanced.

    Each job in ``produced`` got one token; those in ``finished`` are done.
    """

    duration_s: float
    produced: tuple[Job, ...]
    finished: tuple[Job, ...]


class Batch:
    """The waiting and running jobs of one engine."""

    __slots__ = (
        '_cancelled',
        '_decoding',
        '_held_tokens',
        '_numbers',
        '_prefilling',
        '_reserved_tokens',
        '_waiting',
        'role',
    )

    def __init__(self, role: Role) -> None:
        """Start idle."""
        self.role = role
        self._prefilling: dict[str, Job] = {}
        self._decoding: dict[str, Job] = {}
        self._waiting: list[tuple[int, int, Job]] = []
        self._cancelled: set[str] = set()
        self._numbers = itertools.count()
        #: KV tokens reserved for the running jobs until their end, and KV
        #: tokens that the decoding jobs hold now. Both are kept as sums,
        #: because every step uses them.
        self._reserved_tokens = 0
        self._held_tokens = 0

    @property
    def running(self) -> int:
        """Number of running jobs."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def queued(self) -> int:
        """Number of waiting jobs."""
        return len(self._waiting) - len(self._cancelled)

    @property
    def is_idle(self) -> bool:
        """Whether no job is running or waiting."""
        return not self.running and not self.queued

    @property
    def kv_free_share(self) -> float:
        """Share of the KV cache not reserved by running jobs."""
        return max(0, 1 - self._reserved_tokens / cost.KV_TOKENS)

    def add(self, job: Job) -> None:
        """Queue a job behind the waiting jobs of its priority."""
        entry = (job.priority, next(self._numbers), job)
        heapq.heappush(self._waiting, entry)

    def cancel(self, job_id: str) -> bool:
        """Remove a job; return whether it was running or waiting."""
        job = self._prefilling.pop(job_id, None)
        if job is None and job_id in self._decoding:
            job = self._decoding.pop(job_id)
            self._held_tokens -= job.held_tokens
        if job is not None:
            self._reserved_tokens -= job.size
            return True
        is_waiting = job_id in {entry[-1].job_id for entry in self._waiting}
        if is_waiting:
            self._cancelled.add(job_id)
        return is_waiting

    def step(self) -> Step:
        """Admit jobs that fit, prefill within the role's budget, and decode."""
        self._admit()
        decoding = tuple(self._decoding.values())
        duration_s = cost.step_s(len(decoding), self._held_tokens)
        duration_s += self._prefill()
        finished = tuple(self._decode(decoding))
        return Step(duration_s, decoding, finished)

    def _decode(self, decoding: tuple[Job, ...]) -> Iterator[Job]:
        self._held_tokens += len(decoding)
        for job in decoding:
            job.produced += 1
            if job.produced >= job.output:
                self._held_tokens -= job.held_tokens
                self._reserved_tokens -= job.size
                yield self._decoding.pop(job.job_id)

    def _admit(self) -> None:
        while self._waiting and self._fits(self._waiting[0][-1]):
            first = heapq.heappop(self._waiting)[-1]
            if first.job_id in self._cancelled:
                self._cancelled.remove(first.job_id)
            else:
                self._prefilling[first.job_id] = first
                self._reserved_tokens += first.size

    def _fits(self, job: Job) -> bool:
        if not self.running or job.job_id in self._cancelled:
            return True
        if self.running >= cost.BATCH_SEQUENCES:
            return False
        return self._reserved_tokens + job.size <= cost.KV_TOKENS

    def _prefill(self) -> float:
        """Prefill by priority within the budget; return the seconds spent."""
        budget = cost.PREFILL_BUDGET[self.role]
        spent_s: float = 0
        for job in sorted(self._prefilling.values(), key=_get_priority):
            chunk = min(budget, job.prompt - job.prefilled)
            spent_s += cost.prefill_s(chunk, job.prefilled)
            job.prefilled += chunk
            budget -= chunk
            if job.is_decoding:
                self._held_tokens += job.held_tokens
                self._decoding[job.job_id] = job
                self._prefilling.pop(job.job_id)
            if not budget:
                break
        return spent_s


def _get_priority(job: Job) -> int:
    return job.priority
