"""Authentication, and the part of the settings that a team may read."""

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
_ROOT: Final = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class Principal:
    """An authenticated team; it may read the paths below ``subtree``."""

    team: str
    subtree: str

    def may_read(self, path: str) -> bool:
        """Whether a path is inside the subtree."""
        if self.subtree == _ROOT:
            return True
        return path == self.subtree or path.startswith(f'{self.subtree}/')


def find_principal(
    authorization: str,
    credentials: Iterable[CredentialConfig],
) -> Result[Principal, Problem]:
    """Return the team of the bearer token in an ``Authorization`` header.

    The token is compared with every credential, each in constant time.
    Otherwise the response time would show an attacker how much of a token is
    right, or which credential it belongs to.
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
        return Success(Principal(first.team, first.path or first.team))
    return Failure(
        Problem(ErrorKind.UNAUTHORIZED, 'a valid bearer token is required'),
    )
