"""Continuous batching over the cost model, without a clock or a socket.

The engine stand-in runs it against real time and the bench in an event loop::

    batch = Batch(Role.MIXED)
    batch.add(Job('a-1', priority=1, prompt=900, output=20))
    step = batch.step()  # takes step.duration_s, then step.produced holds
"""

import dataclasses
import heapq
import itertools

from verbenahall.fleet import Role
from verbenahall_standins import cost


@dataclasses.dataclass(slots=True)
class Job:
    """One request: its tokens and how far it has come.

    ``prefilled`` starts above 0 where the prefix cache or imported KV cache
    holds a part of the prompt.
    """

    identity: str
    priority: int
    prompt: int
    output: int
    prefilled: int = 0
    produced: int = 0

    @property
    def size(self) -> int:
        """Tokens of KV cache that the job needs in the end."""
        return self.prompt + self.output

    @property
    def context(self) -> int:
        """Tokens whose KV cache the job holds."""
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
    """What one step does and how long it takes."""

    duration_s: float
    produced: tuple[Job, ...]
    finished: tuple[Job, ...]


class Batch:
    """Jobs that wait and jobs that run on one engine."""

    __slots__ = ('_cancelled', '_numbers', '_waiting', 'role', 'running')

    def __init__(self, role: Role) -> None:
        """Start idle."""
        self.role = role
        self.running: dict[str, Job] = {}
        self._waiting: list[tuple[int, int, Job]] = []
        self._cancelled: set[str] = set()
        self._numbers = itertools.count()

    @property
    def queued(self) -> int:
        """How many jobs wait."""
        return len(self._waiting) - len(self._cancelled)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self.running and not self.queued

    @property
    def kv_free_share(self) -> float:
        """The share of the KV memory that no running job has claimed."""
        return max(0, 1 - self._claimed() / cost.KV_TOKENS)

    def add(self, job: Job) -> None:
        """Let a job wait behind those of its priority."""
        entry = (job.priority, next(self._numbers), job)
        heapq.heappush(self._waiting, entry)

    def cancel(self, identity: str) -> bool:
        """Drop a job; return whether there was one."""
        if self.running.pop(identity, None):
            return True
        waits = identity in {entry[-1].identity for entry in self._waiting}
        if waits:
            self._cancelled.add(identity)
        return waits

    def step(self) -> Step:
        """Admit what fits, then prefill within the role's budget and decode."""
        self._admit()
        decoding = [job for job in self.running.values() if job.is_decoding]
        duration_s = cost.step_s(
            len(decoding),
            sum(job.context for job in decoding),
        )
        duration_s += self._prefill()
        for decoded in decoding:
            decoded.produced += 1
        finished = tuple(job for job in self.running.values() if job.is_done)
        for done in finished:
            self.running.pop(done.identity)
        return Step(duration_s, tuple(decoding), finished)

    def _admit(self) -> None:
        while self._waiting and self._fits(self._waiting[0][-1]):
            first = heapq.heappop(self._waiting)[-1]
            if first.identity in self._cancelled:
                self._cancelled.remove(first.identity)
            else:
                self.running[first.identity] = first

    def _fits(self, job: Job) -> bool:
        if not self.running or job.identity in self._cancelled:
            return True
        if len(self.running) >= cost.BATCH_SEQUENCES:
            return False
        return self._claimed() + job.size <= cost.KV_TOKENS

    def _claimed(self) -> int:
        return sum(job.size for job in self.running.values())

    def _prefill(self) -> float:
        budget = cost.PREFILL_BUDGET[self.role]
        spent_s: float = 0
        prefilling = (
            job for job in self.running.values() if not job.is_decoding
        )
        for job in sorted(prefilling, key=_priority_of):
            chunk = min(budget, job.prompt - job.prefilled)
            spent_s += cost.prefill_s(chunk, job.prefilled)
            job.prefilled += chunk
            budget -= chunk
            if not budget:
                break
        return spent_s


def _priority_of(job: Job) -> int:
    return job.priority
