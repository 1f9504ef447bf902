"""The fold as a section of a snapshot: everything a verdict depends on."""

import dataclasses
from typing import Any, Final

from verbenahall.records import Record
from verbenahall.settings._messages import Refusal, RefusalKind, Verdict
from verbenahall.settings._state import (
    Entry,
    SettingsState,
    make_key,
    put_entry,
)
from verbenahall.settings._verdicts import apply_record


class SettingsFold:
    """Settings as one foldable part of the snapshots.

    ``state`` is the same object throughout, so that others may hold it.
    """

    __slots__ = ('state',)

    name: Final = 'settings'

    def __init__(self, state: SettingsState) -> None:
        """Fold into ``state``."""
        self.state = state

    def apply_record(self, record: Record) -> None:
        """Apply one record; its verdict stands in the history."""
        apply_record(self.state, record)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON: a function of the log's prefix alone."""
        return dump_state(self.state)

    def load(self, section: dict[str, Any]) -> None:
        """Take over a dumped state."""
        load_state(self.state, section)


def dump_state(state: SettingsState) -> dict[str, Any]:
    """Return the state as JSON."""
    return {
        'position': state.position,
        'entries': [
            [entry.path, entry.offset, entry.value]
            for entry in state.entries.values()
        ],
        'identities': list(state.identities),
        'removals': list(state.removals.items()),
        'history': [dump_verdict(verdict) for verdict in state.history],
    }


def dump_verdict(verdict: Verdict) -> dict[str, Any]:
    """Return a verdict as JSON, as the administration API shows it too."""
    table = {
        field.name: getattr(verdict, field.name)
        for field in dataclasses.fields(verdict)
    }
    refusal = verdict.refusal
    if refusal is not None:
        table['refusal'] = {
            'kind': refusal.kind.value,
            'message': refusal.message,
            'winner': refusal.winner,
        }
    return table


def load_state(state: SettingsState, section: dict[str, Any]) -> None:
    """Refill a state; whoever loads a snapshot sees that it is no older."""
    # Everything is read before anything is taken over, so that a section
    # of another shape leaves the state as it was.
    fresh = _read_section(section)
    for slot in SettingsState.__slots__:
        if slot != 'effective':
            setattr(state, slot, getattr(fresh, slot))
    for table in type(fresh.effective).__slots__:
        setattr(state.effective, table, getattr(fresh.effective, table))


def _read_section(section: dict[str, Any]) -> SettingsState:
    fresh = SettingsState()
    fresh.position = int(section['position'])
    fresh.identities = dict.fromkeys(section['identities'])
    fresh.removals = {path: int(at) for path, at in section['removals']}
    for row in section['history']:
        fresh.history.append(_read_verdict(row))
    for path, offset, entry_value in section['entries']:
        team, _, name = path.split('/')
        entry = Entry(path, team, name, entry_value, int(offset))
        put_entry(fresh, make_key(path), entry)
    return fresh


def _read_verdict(row: dict[str, Any]) -> Verdict:
    refusal = row['refusal']
    return Verdict(
        **{
            **row,
            'paths': tuple(row['paths']),
            'refusal': refusal
            and Refusal(
                RefusalKind(refusal['kind']),
                refusal['message'],
                refusal['winner'],
            ),
        },
    )
