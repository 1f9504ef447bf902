"""Dumps and loads all folds of an instance together."""

from collections.abc import Sequence
from typing import Any

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.snapshots._messages import Foldable, Snapshot


class FoldSet:
    """All folds of an instance.

    ``unknown_sections`` names the sections of the last loaded snapshot for
    which there is no fold. They were written by a later release.
    """

    __slots__ = ('unknown_sections', '_folds')

    def __init__(self, folds: Sequence[Foldable]) -> None:
        """Use the folds in this order."""
        self.unknown_sections: frozenset[str] = frozenset()
        self._folds = tuple(folds)

    def dump(self, position: int) -> Snapshot:
        """Return a snapshot of the folds, whose offset is ``position``."""
        return Snapshot(position, self._dump_sections())

    def load(self, snapshot: Snapshot) -> Result[None, Problem]:
        """Load all sections; on an error restore all folds."""
        before = self._dump_sections()
        try:
            self._load_sections(snapshot.sections)
        except Exception as error:
            # Any process that reaches the log can write a snapshot with a
            # valid checksum and an invalid section. Loaded in part it would
            # leave folds of two offsets.
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
            # A release without this fold wrote no section for it, and no
            # records either.
            section = sections.get(fold.name)
            if section is not None:
                fold.load(section)
