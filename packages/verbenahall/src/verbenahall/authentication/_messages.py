"""API keys by their digests, and the workspaces that hold them."""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A holder of keys; its ``priority``, if set, overrides the route's."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTable:
    """The valid keys by their digests.

    The keys themselves are not stored. The time of a lookup by digest reveals
    nothing about how much of a guessed key is right, and a memory dump of the
    process contains no keys.
    """

    holders: Mapping[bytes, Workspace]


#: A workspace and the keys that it holds.
WorkspaceKeys = tuple[Workspace, Sequence[str]]


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is stored and looked up."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


def build_key_table(rows: Iterable[WorkspaceKeys]) -> KeyTable:
    """Build the table from each workspace's keys.

    Raises ``ValueError`` if two workspaces hold the same key, since its
    requests could not be attributed. The message names the workspaces but not
    the key. For example::

        build_key_table([(Workspace('press'), ['a-key', 'another'])])
    """
    holders: dict[bytes, Workspace] = {}
    for workspace, keys in rows:
        for key in keys:
            holder = holders.setdefault(digest_key(key), workspace)
            if holder.name != workspace.name:
                names = f'{holder.name!r} and {workspace.name!r}'
                raise ValueError(f'workspaces {names} hold the same key')
    return KeyTable(MappingProxyType(holders))
