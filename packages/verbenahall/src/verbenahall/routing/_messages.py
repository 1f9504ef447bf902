"""What routing is asked and what it answers."""

import dataclasses

from verbenahall.fleet import Endpoint
from verbenahall.load import Belief


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """One attempt that needs an endpoint.

    Token counts are estimates. ``prefix`` names the start of the prompt that
    an engine may have cached (empty for none). ``excluded`` holds endpoints
    that an earlier attempt of this request has failed at.
    """

    request: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: str = ''
    excluded: frozenset[str] = frozenset()
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint chosen, the belief behind it and what lost to it."""

    endpoint: Endpoint
    belief: Belief
    over: tuple[str, ...]
    reason: str
