"""The request and the result of an endpoint selection."""

import dataclasses

from verbenahall.fleet import Endpoint
from verbenahall.load import LoadEstimate


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """One attempt that needs an endpoint.

    ``request`` is the request's identity. Token counts are estimates.
    ``prefix`` identifies the beginning of the prompt that an engine may have
    cached, empty for none. ``excluded`` holds the endpoints at which earlier
    attempts of this request failed.
    """

    request: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: str = ''
    excluded: frozenset[str] = frozenset()
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The selected endpoint and why it was selected.

    ``load_estimate`` is the endpoint's estimated load and ``over`` holds the
    names of the other candidates that were compared. ``reason`` is ``load`` or
    ``prefix``.
    """

    endpoint: Endpoint
    load_estimate: LoadEstimate
    over: tuple[str, ...]
    reason: str
