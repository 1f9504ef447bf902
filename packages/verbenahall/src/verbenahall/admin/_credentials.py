"""Who asks, and what of the settings tree they may read."""

import dataclasses
import hashlib
import hmac
from collections.abc import Iterable
from typing import Final

from returns.result import Failure, Result, Success

from verbenahall.config import CredentialConfig
from verbenahall.errors import ErrorKind, Problem

_SCHEME: Final = 'Bearer '
#: A credential with this path reads the whole tree.
_EVERYTHING: Final = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """A team's credential; ``subtree`` is a path's beginning."""

    team: str
    subtree: str

    def may_read(self, path: str) -> bool:
        """Whether a path is inside the subtree."""
        if self.subtree == _EVERYTHING:
            return True
        return path == self.subtree or path.startswith(f'{self.subtree}/')


def find_reader(
    authorization: str,
    credentials: Iterable[CredentialConfig],
) -> Result[Reader, Problem]:
    """Return whose bearer token an ``Authorization`` header holds.

    Every credential is compared, each in constant time: the answer's time
    would otherwise tell a guesser how much of a token is right, or which
    credential it belongs to.
    """
    token = authorization.removeprefix(_SCHEME)
    digest = hashlib.sha256(token.encode(errors='replace')).hexdigest()
    found = [
        credential
        for credential in credentials
        if hmac.compare_digest(credential.token_sha256, digest)
    ]
    if found and authorization.startswith(_SCHEME):
        first = found[0]
        return Success(Reader(first.team, first.path or first.team))
    return Failure(
        Problem(ErrorKind.UNAUTHORIZED, 'a valid bearer token is needed'),
    )
