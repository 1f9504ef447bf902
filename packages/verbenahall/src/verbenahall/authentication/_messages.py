"""API keys by their digests, and the workspaces that hold them."""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """Who holds keys; its ``priority``, if any, goes before a route's."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTable:
    """Every key that is in force, by its digest.

    The keys themselves are not kept: a lookup by digest takes the same time
    however much of a key was guessed, and a dump of the process has no key.
    """

    holders: Mapping[bytes, Workspace]


#: A workspace and the keys that it holds.
Holding = tuple[Workspace, Sequence[str]]


def digest_key(key: str) -> bytes:
    """Return the digest that stands for a key."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


def build_key_table(rows: Iterable[Holding]) -> KeyTable:
    """Build the table from each workspace's keys.

    Raises ``ValueError`` when two workspaces hold one key: whose request it
    is could not be told. The message names the workspaces only. An example::

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
