"""Dumps the state into a section of a snapshot and loads it again.

The section contains all state on which later verdicts depend.
"""

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
    """The settings as a section of the snapshots.

    ``load`` changes ``state`` in place, so that references to it stay valid.
    """

    __slots__ = ('state',)

    name: Final = 'settings'

    def __init__(self, state: SettingsState) -> None:
        """Apply records to ``state``."""
        self.state = state

    def apply_record(self, record: Record) -> None:
        """Apply one record; its verdict is added to the history."""
        apply_record(self.state, record)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON; it depends only on the applied records."""
        return dump_state(self.state)

    def load(self, section: dict[str, Any]) -> None:
        """Replace the state by a dumped one."""
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
    """Return a verdict as JSON, for snapshots and the administration API."""
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
    """Replace the state by a dumped one.

    The caller checks that the snapshot is not older than the state.
    """
    # The whole section is decoded first, so that a malformed one leaves the
    # state unchanged.
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
