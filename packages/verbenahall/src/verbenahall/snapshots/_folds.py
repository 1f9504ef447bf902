"""The folds of one instance as a whole."""

from collections.abc import Sequence
from typing import Any

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.snapshots._messages import Foldable, Snapshot


class FoldSet:
    """Dumps and loads every fold together.

    ``unknown_sections`` names the sections of the last loaded snapshot that no fold
    here has: a later release wrote it.
    """

    __slots__ = ('unknown_sections', '_folds')

    def __init__(self, folds: Sequence[Foldable]) -> None:
        """Keep the folds in this order."""
        self.unknown_sections: frozenset[str] = frozenset()
        self._folds = tuple(folds)

    def dump(self, position: int) -> Snapshot:
        """Return the snapshot of the folds, which stand at ``position``."""
        return Snapshot(position, self._dump_sections())

    def load(self, snapshot: Snapshot) -> Result[None, Problem]:
        """Load every section, or leave every fold as it was."""
        before = self._dump_sections()
        try:
            self._load_sections(snapshot.sections)
        except Exception as error:
            # Anyone who reaches the log can write a snapshot with a right
            # checksum and a section of any shape. One half taken over would
            # leave folds of two offsets side by side.
            self._load_sections(before)
            return Failure(
                Problem(
                    ErrorKind.CONFLICT,
                    f'snapshot at {snapshot.upto}: {error!r}',
                ),
            )
        self.unknown_sections = frozenset(snapshot.sections) - frozenset(before)
        return Success(None)

    def _dump_sections(self) -> dict[str, dict[str, Any]]:
        return {fold.name: fold.dump() for fold in self._folds}

    def _load_sections(self, sections: dict[str, dict[str, Any]]) -> None:
        for fold in self._folds:
            # A release from before this fold existed wrote no section for
            # it, and no records either.
            section = sections.get(fold.name)
            if section is not None:
                fold.load(section)
