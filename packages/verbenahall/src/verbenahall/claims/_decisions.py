"""The fold of claims: the first record that contains a key wins it."""

import hashlib
from collections.abc import Iterator
from typing import Any, Final

from verbenahall.claims._messages import Batch, Lost, Verdict, Won
from verbenahall.claims._state import ClaimsState
from verbenahall.records import CLAIMS_STREAM, Record

_DIGEST_BYTES: Final = 16
_LENGTH_BYTES: Final = 4
_ENCODING: Final = ('utf-8', 'surrogatepass')


def hash_key(workspace: str, key: str) -> str:
    """Return the hash by which the log identifies a caller's key.

    It is a digest of the workspace and the key. All hashes have the same
    length, so that a batch never exceeds the size of a record, and a key that
    is a secret is not written to the log.
    """
    workspace_bytes = workspace.encode(*_ENCODING)
    digest = hashlib.blake2b(
        len(workspace_bytes).to_bytes(_LENGTH_BYTES)
        + workspace_bytes
        + key.encode(*_ENCODING),
        digest_size=_DIGEST_BYTES,
    )
    return digest.hexdigest()


def find_owner(state: ClaimsState, key: str) -> int | None:
    """Return the offset of the record that won a key, None without one."""
    offset = state.young.get(key)
    return state.old.get(key) if offset is None else offset


def try_claim(state: ClaimsState, key: str) -> Verdict | None:
    """Try to claim a key; return ``None`` if the log has to decide.

    If this process has already won the key and not used that claim, it is used
    now. A claim whose release may already be in the log is not: after the
    release another process may have won the key.
    """
    unused = state.unused.pop(key, None)
    if unused is not None:
        return Won(key, unused)
    owner = find_owner(state, key)
    if owner is not None and state.freeing.get(key) != owner:
        return Lost(key, owner)
    state.unsent[key] = None
    state.waiting.add(key)
    return None


def stop_waiting(state: ClaimsState, key: str) -> None:
    """Stop waiting for a verdict; a claim that wins later is released."""
    state.unsent.pop(key, None)
    state.waiting.discard(key)


def release(state: ClaimsState, key: str, offset: int) -> None:
    """Release a won claim whose request has not run and will not run."""
    if find_owner(state, key) == offset:
        state.unused[key] = offset


def pop_batch(state: ClaimsState, limit: int) -> Batch | None:
    """Remove and return the next batch, or ``None`` if it would be empty."""
    state.freeing.update(state.unused)
    state.unused.clear()
    freed = tuple(state.freeing.items())[:limit]
    keys = tuple(state.unsent)[:limit]
    for key in keys:
        state.unsent.pop(key)
    return Batch(keys, freed) if keys or freed else None


def encode_batch(state: ClaimsState, batch: Batch) -> dict[str, Any]:
    """Encode a batch as the body of a record."""
    body: dict[str, Any] = {'holder': state.holder, 'keys': list(batch.keys)}
    if batch.freed:
        body['freed'] = [list(pair) for pair in batch.freed]
    return body


def apply_record(state: ClaimsState, record: Record) -> tuple[Verdict, ...]:
    """Fold one record; return the verdicts on awaited keys.

    Records of other streams and repeated offsets are ignored.
    """
    if record.stream != CLAIMS_STREAM or record.offset <= state.position:
        return ()
    state.position = record.offset
    for key, offset in _read_freed(record.body):
        _apply_freed(state, key, offset)
    local = record.body.get('holder') == state.holder
    verdicts = []
    for claimed in _read_keys(record.body):
        verdict = _apply_key(state, claimed, record.offset, local=local)
        if verdict is not None:
            verdicts.append(verdict)
    return tuple(verdicts)


def _read_keys(body: dict[str, Any]) -> Iterator[str]:
    keys = body.get('keys')
    if isinstance(keys, list):
        yield from (key for key in keys if isinstance(key, str))


def _read_freed(body: dict[str, Any]) -> Iterator[tuple[str, int]]:
    pairs = body.get('freed')
    if not isinstance(pairs, list):
        return
    for pair in pairs:
        if _is_freed(pair):
            yield pair[0], pair[1]


def _is_freed(pair: Any) -> bool:
    if not isinstance(pair, list) or len(pair) != 2:
        return False
    return isinstance(pair[0], str) and isinstance(pair[1], int)


def _apply_freed(state: ClaimsState, key: str, offset: int) -> None:
    """Remove a claim that was released.

    The offset identifies the claim. A release whose append seemed to have
    failed may be appended after the key was won again; with the key alone it
    would remove a claim in use, and the request would run twice.
    """
    for generation in (state.young, state.old):
        if generation.get(key) == offset:
            generation.pop(key)
    if state.freeing.get(key) == offset:
        state.freeing.pop(key)


def _apply_key(
    state: ClaimsState,
    key: str,
    offset: int,
    *,
    local: bool,
) -> Verdict | None:
    owner = find_owner(state, key)
    if owner is None:
        _add_key(state, key, offset)
        return _apply_first(state, key, offset, local=local)
    if key not in state.waiting or state.freeing.get(key) == owner:
        return None
    stop_waiting(state, key)
    return Lost(key, owner)


def _apply_first(
    state: ClaimsState,
    key: str,
    offset: int,
    *,
    local: bool,
) -> Verdict | None:
    if key in state.waiting:
        stop_waiting(state, key)
        return Won(key, offset) if local else Lost(key, offset)
    if local:
        # The append had timed out and its record is in the log after all. No
        # request runs under this claim. If it were kept, every later attempt
        # with the key would be rejected.
        state.unused[key] = offset
    return None


def _add_key(state: ClaimsState, key: str, offset: int) -> None:
    if len(state.young) >= state.generation_size:
        state.old = state.young
        state.young = {}
    state.young[key] = offset


def dump(state: ClaimsState) -> dict[str, Any]:
    """Return the fold as JSON; it is equal on all instances at a position."""
    return {
        'position': state.position,
        'young': dict(state.young),
        'old': dict(state.old),
    }


def load(state: ClaimsState, dumped: dict[str, Any]) -> tuple[str, ...]:
    """Replace the fold; return the awaited keys, whose verdict is unknown.

    Their records may be in the part of the log that is skipped.
    """
    state.position = int(dumped['position'])
    state.young = dict(dumped['young'])
    state.old = dict(dumped['old'])
    abandoned = tuple(state.waiting)
    for key in abandoned:
        stop_waiting(state, key)
    return abandoned
