"""What tells that a request is one that came before under another id."""

import hashlib
from typing import Final

#: Bytes of a fingerprint; logs and datagrams carry it in hexadecimal.
_BYTES: Final = 8
#: Bytes of a part's length before it.
_LENGTH_BYTES: Final = 8


def make_fingerprint(
    method: str,
    host: str,
    target: str,
    body: bytes,
) -> str:
    """Return the same text for the same request, wherever it comes from.

    ``target`` is the path with its query. The address is no part of it: a
    caller's connections to different data centres come from different ones.
    Nothing of the body can be read from it::

        make_fingerprint('GET', 'desk.example', '/page/1', b'')
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for text in (method, host, target):
        _add(digest, text.encode('utf-8', 'surrogateescape'))
    _add(digest, body)
    return digest.hexdigest()


def _add(digest: 'hashlib._Hash', part: bytes) -> None:
    """Add a part with its length, so that parts cannot run together."""
    digest.update(len(part).to_bytes(_LENGTH_BYTES))
    digest.update(part)
