"""The tokens of a model request, and the plan by which it is served."""

import dataclasses
from typing import Final

from verbenahall.roster import Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt; parts with equal identities have equal text."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The tokens that a request needs from engines.

    ``parts`` make up the prompt in order. The last one is specific to the
    request; the parts before it are shared with other requests.
    """

    parts: tuple[Part, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts that other requests share with this one."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """The identity of the part by which preferred engines are ranked."""
        chosen = self.shared_parts or self.parts
        return chosen[-1].identity if chosen else ''

    @property
    def context_tokens(self) -> int:
        """Tokens in KV memory when the answer is complete."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSource:
    """Where a request comes from, by which queues treat callers alike.

    ``fingerprint`` is the same for all attempts at a request, ``caller`` for
    all requests with one API key. ``instance`` and ``data_centre`` are those
    that took the request from its caller. An empty text means unknown.
    """

    fingerprint: str = ''
    caller: str = ''
    workspace: str = ''
    route: str = ''
    instance: str = ''
    data_centre: str = ''


#: Source of a request of which nothing is stated.
UNKNOWN_SOURCE: Final = RequestSource()


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillSample:
    """A measured prefill: ``missing`` tokens after ``cached`` ones.

    It took ``seconds``, in which it had the share ``share`` of the engine's
    time. ``alone`` is whether no other prefill was ahead of it.
    """

    missing: int
    cached: int
    seconds: float
    share: float = 1
    alone: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The engines of a request, and the estimates behind the choice.

    ``prefill_engine`` is None if ``decode_engine`` prefills the prompt as well.
    ``missing`` is the estimated number of tokens to prefill, ``wait_s`` the
    expected time to the first event in seconds, ``ahead_s`` the part of it for
    prefills that the engine has already admitted, and ``slot_wait_s`` the part
    until the decode engine has a free slot.
    """

    prefill_engine: Entry | None
    decode_engine: Entry
    missing: int
    wait_s: float
    reason: str
    ahead_s: float = 0
    slot_wait_s: float = 0

    def make_sample(
        self, work: Work, seconds: float, share: float, *, alone: bool
    ) -> PrefillSample:
        """Return the measurement of the plan's prefill."""
        cached = work.prompt_tokens - self.missing
        return PrefillSample(self.missing, cached, seconds, share, alone)
