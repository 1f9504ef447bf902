"""Memory and processor time of the states built from the log, by size."""

import functools
import itertools
from collections.abc import Iterator
from typing import Any, Final

from verbenahall import wire
from verbenahall.authority import AuthorityState
from verbenahall.authority import apply_record as apply_authority
from verbenahall.claims import Claims
from verbenahall.records import (
    AUTHORITY_STREAM,
    CLAIMS_STREAM,
    SETTINGS_STREAM,
    Record,
)
from verbenahall.settings import SettingsFold, SettingsState
from verbenahall_standins.capacity._report import Point, Series
from verbenahall_standins.capacity._timing import (
    Row,
    make_series,
    measure_bytes,
    time_us,
)

_WORKSPACES: Final = (100, 1000, 4000, 16_000)
#: Length of an idempotency key, in characters.
_KEY_LETTERS: Final = 32
_CLAIMS: Final = (100, 1000, 10_000)
_SCOPES: Final = (15, 150, 1500)
#: Workspaces in one publication.
_BATCH: Final = 50


def measure_folds() -> Iterator[Series]:
    """Yield the series of settings, authority and claims."""
    yield from _measure_settings()
    yield _measure_authority()
    yield _measure_claims()


def _measure_settings() -> Iterator[Series]:
    rows = [_measure_tree(size) for size in _WORKSPACES]
    for name, column in (
        ('settings memory (B)', 0),
        ('settings apply (us)', 1),
        ('settings snapshot (B)', 2),
    ):
        yield make_series(name, 'workspaces', rows, column)


def _measure_tree(size: int) -> Row:
    """Publish workspaces in batches, then time single changes of the tree."""
    fold = SettingsFold(SettingsState())
    used_bytes = measure_bytes(functools.partial(_publish, fold, size))
    offsets = itertools.count(size + 1)
    bases = itertools.chain((1,), itertools.count(size + 1))
    changes = (
        _build_publication(offset, [_build_workspace(0, base=base, share=2)])
        for offset, base in zip(offsets, bases, strict=False)
    )
    spent_us = time_us(lambda: fold.apply_record(next(changes)))
    return size, (used_bytes, spent_us, len(wire.encode(fold.dump())))


def _publish(fold: SettingsFold, size: int) -> None:
    for start in range(0, size, _BATCH):
        changes = [_build_workspace(start + step) for step in range(_BATCH)]
        fold.apply_record(_build_publication(start + 1, changes))


def _build_workspace(
    number: int, base: int = 0, share: int = 1
) -> dict[str, Any]:
    return {
        'path': f'desk/workspaces/club-{number}',
        'base': base,
        'value': {'share': share, 'queue': 64},
    }


def _build_publication(offset: int, changes: list[dict[str, Any]]) -> Record:
    body = {'team': 'desk', 'author': 'meinir', 'changes': changes}
    return Record(offset, SETTINGS_STREAM, f'id-{offset}', body)


def _measure_authority() -> Series:
    points = []
    for size in _SCOPES:
        state = AuthorityState()
        for number in range(size):
            apply_authority(
                state, _build_lease_claim(number + 1, f'dc-{number}', 0), 0
            )
        offsets = itertools.count(size + 1)
        spent_us = time_us(
            functools.partial(_apply_next, state, offsets),
        )
        points.append(Point(size, spent_us))
    return Series('authority record (us)', 'scopes', points)


def _measure_claims() -> Series:
    points = []
    for size in _CLAIMS:
        fold = Claims(None, 'entry')
        used_bytes = measure_bytes(functools.partial(_apply_claims, fold, size))
        points.append(Point(size, used_bytes))
    return Series('claims memory (B)', 'claims', points)


def _apply_claims(fold: Claims, size: int) -> None:
    for number in range(1, size + 1):
        fold.apply_record(_build_key_claim(number))


def _build_key_claim(number: int) -> Record:
    body = {'holder': 'entry-2', 'keys': [str(number).zfill(_KEY_LETTERS)]}
    return Record(number, CLAIMS_STREAM, f'id-{number}', body)


def _apply_next(state: AuthorityState, offsets: Iterator[int]) -> None:
    offset = next(offsets)
    apply_authority(state, _build_lease_claim(offset, f'new-{offset}', 0), 0)


def _build_lease_claim(offset: int, scope: str, after: int) -> Record:
    body = {
        'kind': 'claim',
        'scope': scope,
        'holder': 'entry-1.a1b2',
        'after': after,
        'lease_s': 5,
    }
    return Record(offset, AUTHORITY_STREAM, f'id-{offset}', body)
