"""Whether a request's key lets it run, and in whose name."""

from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.authentication._messages import KeyTable, Workspace
from verbenahall.errors import ErrorKind, Problem

#: Retired keys that are remembered.
_REMEMBERED: Final = 16_384


@final
class KeyHistory:
    """Digests of keys that were in force and are no longer."""

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
    """Return the workspace that holds a key, or refuse the request.

    Success with None runs in nobody's name: no ``table`` is in force, or the
    route is ``public`` and the key unknown.
    """
    if table is None:
        return Success(None)
    holder = table.holders.get(digest)
    if holder is None and not public:
        problem = Problem(ErrorKind.UNAUTHORIZED, 'the API key is not known')
        return Failure(problem)
    return Success(holder)


def note_replaced(
    history: KeyHistory,
    before: KeyTable | None,
    after: KeyTable | None,
) -> None:
    """Remember which keys a newer table holds no more."""
    old = before.holders.keys() if before else frozenset()
    new = after.holders.keys() if after else frozenset()
    for digest in old - new:
        history.retired[digest] = None
    for digest in new & history.retired.keys():
        history.retired.pop(digest)
    while len(history.retired) > _REMEMBERED:
        history.retired.pop(next(iter(history.retired)))


def is_retired(history: KeyHistory, digest: bytes) -> bool:
    """Whether a key was in force and is no longer."""
    return digest in history.retired
