"""Open forwarded requests, and what decides on received ones."""

import collections
import dataclasses
from typing import final


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenPeer:
    """A peer and the address at which it receives forwarded requests."""

    name: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCandidate:
    """A peer that may get a request; ``is_local`` is by data centre."""

    name: str
    address: str
    is_local: bool


@final
class OpenForwards:
    """Counts of open requests: sent to each peer, and received from all."""

    __slots__ = ('received', 'sent')

    def __init__(self) -> None:
        """Start without open requests."""
        self.received = 0
        self.sent: collections.Counter[str] = collections.Counter()

    def begin(self, peer: str) -> None:
        """Count a request that is sent to a peer."""
        self.sent[peer] += 1

    def end(self, peer: str) -> None:
        """Stop counting a request that was sent to a peer."""
        self.sent[peer] -= 1
        if not self.sent[peer]:
            self.sent.pop(peer)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceiverState:
    """The state of an instance that receives a forwarded request.

    ``version`` is that of its manifest, 0 before the first. ``is_lost`` is
    whether it does not reach the request's service either.
    """

    is_known_author: bool
    is_stopping: bool
    is_lost: bool
    version: int
    open_requests: int
