"""Follows the store: the manifest and the list of endpoints.

Each topic is read whole once and then followed by long polls, so that an
idle instance makes a call a second and learns of a change within
milliseconds.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final, final

from returns.maybe import Some
from returns.result import Failure, Success

from verbenahall import journal
from verbenahall.catalog import adopt
from verbenahall.gateway._core import Core
from verbenahall.platform import (
    ENDPOINTS_TOPIC,
    MANIFEST_KEY,
    OPERATOR_TOPIC,
    Deleted,
    KeyedRecord,
    decode_entry,
    decode_keyed,
    decode_manifest,
)
from verbenahall.roster import drop, note_contact, put, replace

#: How long one poll of the manifest waits for a change, in seconds. A poll that
#: reaches a silent store is never answered, and the platform expects a change
#: in force three seconds after the store's return: with the time for an answer
#: a swallowed poll is given up after 2.5 s. Polls of 12 s served an old
#: manifest for 4 s after a silence of 3.7 s.
_MANIFEST_POLL_S: Final = 1.6
#: The same for the endpoints, whose changes may take two seconds longer.
_ENDPOINTS_POLL_S: Final = 3.0
#: How long a poll waits that follows a change, or a topic without records.
#: The store does not wake a poll that arrives while a record is on its way
#: in: of two records 9 ms apart an instance saw the second one only when its
#: poll of 25 s had ended.
_SOON_S: Final = 0.4
#: After a manifest the next one is read this much later, in seconds; it must
#: be in force within two.
_MANIFEST_REST_S: Final = 0.2
#: After changes among the endpoints the next ones are read later by this
#: share of the time within which a leaving one may still get work. Engines
#: are listed and replaced one by one: with 70 of them and 62 instances, each
#: change read at once made 14,600 calls in a minute.
_REST_SHARE: Final = 0.25
#: Pause before the store is tried again, in seconds: the first one, and the
#: longest. A change must be in force within two seconds of the store's word.
_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 0.7

_Take = Callable[[KeyedRecord], None]
_TakeAll = Callable[[Mapping[str, bytes]], None]


@final
class Follower:
    """Follows one keyed topic for as long as the process runs."""

    __slots__ = (
        '_core',
        '_topic',
        '_take',
        '_take_all',
        '_poll_s',
        '_rest_s',
        '_away',
        '_soon',
    )

    def __init__(
        self,
        core: Core,
        topic: str,
        take: _Take,
        take_all: _TakeAll,
        poll_s: float,
        rest_s: float,
    ) -> None:
        """Hand single changes to ``take`` and whole reads to ``take_all``.

        After a change the topic is left alone for ``rest_s``, so that the
        changes that mostly follow cost one call together.
        """
        self._core = core
        self._topic = topic
        self._take = take
        self._take_all = take_all
        self._poll_s = poll_s
        self._rest_s = rest_s
        self._away = False
        self._soon = True

    async def run(self) -> None:
        """Read the topic whole, then follow it, until cancelled."""
        pause = _FIRST_PAUSE_S
        offset: int | None = None
        while True:
            offset, reached = await self._step(offset)
            self._note(reached=reached)
            if reached:
                pause = _FIRST_PAUSE_S
                continue
            jitter = self._core.random.uniform(0.5, 1)
            await asyncio.sleep(pause * jitter)
            pause = min(pause * 2, _LONGEST_PAUSE_S)

    async def _step(self, offset: int | None) -> tuple[int | None, bool]:
        if offset is None:
            return await self._read_all()
        return await self._poll(offset)

    async def _read_all(self) -> tuple[int | None, bool]:
        match await self._core.store.read_newest(self._topic):
            case Success(newest):
                self._soon = True
                self._take_all(newest.items)
                return newest.end, True
            case Failure(away):
                self._tell_away(away.reason)
        return None, False

    async def _poll(self, offset: int) -> tuple[int | None, bool]:
        wait_s = _SOON_S if self._soon else self._poll_s
        match await self._core.store.read(self._topic, offset, wait_s):
            case Success(batch):
                self._soon = bool(batch.records) or not offset
                for record in batch.records:
                    self._take_record(record)
                if batch.records:
                    await asyncio.sleep(self._rest_s)
                return offset + len(batch.records), True
            case Failure(Deleted()):
                # What was missed is gone; only a whole read tells what is.
                journal.write_decision('history_lost', topic=self._topic)
                return None, True
            case Failure(away):
                self._tell_away(away.reason)
        return offset, False

    def _take_record(self, record: bytes) -> None:
        try:
            keyed = decode_keyed(record)
        except ValueError as error:
            journal.write_decision(
                'record_unreadable',
                topic=self._topic,
                reason=str(error),
            )
            return
        self._take(keyed)

    def _note(self, *, reached: bool) -> None:
        note_contact(self._core.roster, self._core.now(), reached=reached)
        if reached and self._away:
            journal.write_decision('store_regained', topic=self._topic)
            self._away = False

    def _tell_away(self, reason: str) -> None:
        if not self._away:
            journal.write_decision(
                'store_lost',
                topic=self._topic,
                reason=reason,
            )
        self._away = True


@final
class Following:
    """What the store's records change in the process's state."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Change the core's catalog and roster."""
        self._core = core

    def followers(self) -> Mapping[str, Follower]:
        """Return the loops that the process runs, by name."""
        return {
            'manifest': Follower(
                self._core,
                OPERATOR_TOPIC,
                self._take_manifest,
                self._take_manifests,
                _MANIFEST_POLL_S,
                _MANIFEST_REST_S,
            ),
            'endpoints': Follower(
                self._core,
                ENDPOINTS_TOPIC,
                self._take_entry,
                self._take_entries,
                _ENDPOINTS_POLL_S,
                self._core.settings.bounds.leaving_s * _REST_SHARE,
            ),
        }

    def _take_manifest(self, record: KeyedRecord) -> None:
        if record.key != MANIFEST_KEY or not record.content:
            return
        match decode_manifest(record.content):
            case Success(catalog):
                adopted = adopt(self._core.catalog, catalog)
                journal.write_decision(
                    'manifest',
                    version=catalog.version,
                    routes=sum(map(len, catalog.routes.values())),
                    in_force=adopted,
                )
            case Failure(problem):
                journal.write_decision(
                    'manifest_unreadable',
                    reason=problem.message,
                )

    def _take_manifests(self, records: Mapping[str, bytes]) -> None:
        for key, content in records.items():
            self._take_manifest(KeyedRecord(key, content))

    def _take_entry(self, record: KeyedRecord) -> None:
        roster = self._core.roster
        now = self._core.now()
        if not record.content:
            gone = drop(roster, record.key, now)
            self._core.forget_unlisted()
            journal.write_decision(
                'endpoint_gone' if gone else 'endpoint_lapsed',
                endpoint=record.key,
            )
            return
        match decode_entry(record.key, record.content):
            case Some(entry):
                taken = put(roster, entry)
                journal.write_decision(
                    'endpoint',
                    endpoint=entry.name,
                    service=entry.service,
                    address=entry.address,
                    role=entry.role.value if entry.role else None,
                    leaving=entry.leaving,
                    born=entry.born,
                    change=entry.change,
                    taken=taken,
                )
            case _:
                _tell_unreadable(record.key)

    def _take_entries(self, records: Mapping[str, bytes]) -> None:
        entries, unreadable = [], []
        for key, content in records.items():
            match decode_entry(key, content):
                case Some(entry):
                    entries.append(entry)
                case _:
                    unreadable.append(key)
                    _tell_unreadable(key)
        replace(self._core.roster, entries, unreadable, self._core.now())
        self._core.forget_unlisted()
        journal.write_decision(
            'endpoints',
            readable=len(entries),
            listed=len(records),
        )


def _tell_unreadable(endpoint: str) -> None:
    journal.write_decision('endpoint_unreadable', endpoint=endpoint)
