"""The work of a model request, and the plan for it; tokens and seconds."""

import dataclasses

from verbenahall.roster import Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A piece of a prompt; equal identities are equal text."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of engines.

    ``parts`` make up the prompt in order; the last one is the request's own,
    those before it are shared with other requests.
    """

    parts: tuple[Part, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that other requests have in common with this one."""
        return self.parts[:-1]

    @property
    def home_key(self) -> str:
        """The part by which requests gather on an engine."""
        chosen = self.shared or self.parts
        return chosen[-1].identity if chosen else ''

    @property
    def context_tokens(self) -> int:
        """Tokens in an engine's memory when the answer is complete."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Where a request goes, with the inputs that decided it.

    ``reader`` is None when the generating engine reads the prompt itself.
    ``missing`` is how many tokens are thought to be read anew, ``wait_s``
    the expected time to the first event, of which ``ahead_s`` is for reads
    that the engine has admitted before.
    """

    reader: Entry | None
    generator: Entry
    missing: int
    wait_s: float
    reason: str
    ahead_s: float = 0
