"""Snapshots, their parts and marks, and what can be part of one."""

import dataclasses
from typing import Any, Protocol

from verbenahall.records import Record


class Foldable(Protocol):
    """One slice's state as a function of the log's prefix."""

    @property
    def name(self) -> str:
        """The section's name in snapshots; never changes."""

    def apply_record(self, record: Record) -> object:
        """Apply one record of any stream."""

    def dump(self) -> dict[str, Any]:
        """Return the whole state as JSON.

        It depends on the prefix alone, so that copies by different
        instances are equal, and may share objects that never change.
        """

    def load(self, section: dict[str, Any]) -> None:
        """Replace the state; raise any exception on another shape."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Every fold's section after the record at ``upto``."""

    upto: int
    sections: dict[str, dict[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Packed:
    """A compressed snapshot and the SHA-256 of these bytes."""

    upto: int
    sha256: str
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One record's share of a packed snapshot; ``number`` counts from 0."""

    sha256: str
    number: int
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Says that a whole snapshot stands between ``start`` and ``offset``."""

    offset: int
    upto: int
    parts: int
    sha256: str
    start: int
