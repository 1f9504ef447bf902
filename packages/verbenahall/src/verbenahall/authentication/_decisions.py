"""Decides whether a request may run, and for which workspace."""

import itertools
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.authentication._messages import KeyTable, Workspace
from verbenahall.errors import ErrorKind, Problem

#: Most retired keys that are kept.
_MAX_RETIRED: Final = 16_384


@final
class KeyHistory:
    """Digests of keys that were valid and have been withdrawn."""

    __slots__ = ('retired',)

    def __init__(self) -> None:
        """Start without retired keys."""
        self.retired: dict[bytes, None] = {}


def authenticate(
    table: KeyTable | None,
    digest: bytes,
    *,
    public: bool,
) -> Result[Workspace | None, Problem]:
    """Return the workspace that holds a key, or a problem for an unknown key.

    Success with None means that the request runs without a workspace: no
    ``table`` is in force, or the route is ``public`` and the key unknown.
    """
    if table is None:
        return Success(None)
    holder = table.holders.get(digest)
    if holder is None and not public:
        problem = Problem(ErrorKind.UNAUTHORIZED, 'the API key is not known')
        return Failure(problem)
    return Success(holder)


def record_retired(
    history: KeyHistory,
    before: KeyTable | None,
    after: KeyTable | None,
) -> None:
    """Record the keys that a newer table no longer holds.

    Keys that are back in the newer table are removed from the history.
    """
    old = before.holders.keys() if before else frozenset()
    new = after.holders.keys() if after else frozenset()
    for digest in old - new:
        history.retired[digest] = None
    for digest in new & history.retired.keys():
        history.retired.pop(digest)
    # A new dictionary: to find the first entry of one takes as long as all
    # the entries that were removed before it.
    excess = max(0, len(history.retired) - _MAX_RETIRED)
    newest = itertools.islice(history.retired, excess, None)
    history.retired = dict.fromkeys(newest)


def is_retired(history: KeyHistory, digest: bytes) -> bool:
    """Whether a key was valid and has been withdrawn."""
    return digest in history.retired
