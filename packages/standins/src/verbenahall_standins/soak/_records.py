"""Records of requests as their callers saw them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One request as its caller saw it.

    ``status`` is 0 without an answer. ``complete`` is true for a signed and
    complete answer, ``disturbed`` if the instance was stopped, frozen or
    killed meanwhile. ``version`` is the manifest version that added the
    request's route, 0 for a route that every version has. ``subject`` is the
    shared part of the prompt, empty for requests without one. ``stamp`` is the
    signature of the endpoint that answered. ``killed`` is true if the instance
    was killed or frozen meanwhile, ``optional`` if only some manifests have the
    route.
    """

    request_id: str
    instance: str
    sent_at: float
    ended_at: float
    wait_s: float
    status: int
    complete: bool
    repeatable: bool
    disturbed: bool
    version: int = 0
    path: str = ''
    subject: str = ''
    stamp: str = ''
    optional: bool = False
    killed: bool = False
