"""Snapshots, their parts and marks, and the protocol of folds."""

import dataclasses
from typing import Any, Protocol

from verbenahall.records import Record


class Foldable(Protocol):
    """A state that is computed from the log's records."""

    @property
    def name(self) -> str:
        """The name of the section in snapshots, which must not change."""

    def apply_record(self, record: Record) -> object:
        """Apply one record of any stream."""

    def dump(self) -> dict[str, Any]:
        """Return the complete state as JSON.

        It must depend on the applied records only, so that the dumps of all
        instances are equal. It may share objects that never change.
        """

    def load(self, section: dict[str, Any]) -> None:
        """Replace the state; raise any exception if a section is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The sections of all folds after the record at offset ``upto``."""

    upto: int
    sections: dict[str, dict[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Packed:
    """A compressed snapshot and the SHA-256 of the compressed bytes."""

    upto: int
    sha256: str
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The part of a packed snapshot in one record, numbered from 0."""

    sha256: str
    number: int
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """A record after all parts of a snapshot, which makes it valid.

    The parts have offsets from ``start`` on and below ``offset``, which is
    that of the mark.
    """

    offset: int
    upto: int
    parts: int
    sha256: str
    start: int
