"""Keys of what may crash endpoints: whole requests, and parts of prompts.

Fingerprints identify equal requests under different request ids.
"""

import hashlib
from typing import Final

#: Size of a fingerprint in bytes; logs and datagrams hold it in hexadecimal.
_BYTES: Final = 8
#: Size of the length that precedes each part, in bytes.
_LENGTH_BYTES: Final = 8
#: Prefix of the keys of parts.
_PART: Final = 'part:'


def make_fingerprint(
    method: str,
    host: str,
    target: str,
    body: bytes,
) -> str:
    """Return a hash that is the same for equal requests from any address.

    ``target`` is the path with its query. The caller's address is left out,
    since one caller's connections to different data centres have different
    source addresses. The body can't be recovered from the hash::

        make_fingerprint('GET', 'desk.example', '/page/1', b'')
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for text in (method, host, target):
        _add(digest, text.encode('utf-8', 'surrogateescape'))
    _add(digest, body)
    return digest.hexdigest()


def make_part_key(service: str, identity: str) -> str:
    """Return the key of a part in the prompts of a service.

    An example::

        make_part_key('drafter', '5c1e07a2')
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for text in (service, identity):
        _add(digest, text.encode('utf-8', 'surrogateescape'))
    return _PART + digest.hexdigest()


def is_part(key: str) -> bool:
    """Whether a key is that of a part, not of a whole request."""
    return key.startswith(_PART)


def _add(digest: 'hashlib._Hash', part: bytes) -> None:
    """Hash a part after its length, so that parts can't be confused."""
    digest.update(len(part).to_bytes(_LENGTH_BYTES))
    digest.update(part)
