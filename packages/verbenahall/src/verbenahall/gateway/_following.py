"""What the store's records change in the process's state."""

import functools
from collections.abc import Callable, Mapping, Sequence
from typing import Final, final

from returns.maybe import Some
from returns.result import Failure, Success

from verbenahall import journal
from verbenahall.catalog import adopt
from verbenahall.gateway._core import Core
from verbenahall.gateway._store_reachability import Received
from verbenahall.gateway._followers import Follower, Subject
from verbenahall.peers import TopicUpdate, PeerExchange
from verbenahall.platform import (
    ENDPOINTS_TOPIC,
    MANIFEST_KEY,
    OPERATOR_TOPIC,
    KeyedRecord,
    decode_entry,
    decode_manifest,
)
from verbenahall.roster import drop, put, replace

#: After a manifest the next one is read this much later, in seconds; it must
#: be in force within two.
_MANIFEST_REST_S: Final = 0.2
#: After changes among the endpoints the next ones are read later by this
#: share of the time within which a leaving one may still get work. Engines
#: are listed and replaced one by one; read at once, each change would be a
#: call to the store.
_REST_SHARE: Final = 0.25


@final
class RecordHandlers:
    """What the store's records change in the process's state."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Change the core's catalog and roster."""
        self._core = core

    def followers(
        self, broadcast: Callable[[TopicUpdate], None]
    ) -> list[Follower]:
        """Return what is followed; news for the peers go to ``broadcast``."""
        pause_s = self._core.settings.bounds.leaving_s * _REST_SHARE
        subjects = (
            Subject(
                OPERATOR_TOPIC,
                self._take_manifest,
                self._take_manifests,
                _MANIFEST_REST_S,
            ),
            Subject(
                ENDPOINTS_TOPIC,
                self._take_entry,
                self._take_entries,
                pause_s,
            ),
        )
        return [
            Follower(self._core, subject, broadcast) for subject in subjects
        ]

    def _take_manifest(self, record: KeyedRecord, received: Received) -> None:
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
                    source=received.source,
                    age_s=journal.round_seconds(received.age_s),
                )
            case Failure(problem):
                journal.write_decision(
                    'manifest_unreadable',
                    reason=problem.message,
                )

    def _take_manifests(
        self,
        records: Mapping[str, bytes],
        received: Received,
    ) -> None:
        for key, content in records.items():
            self._take_manifest(KeyedRecord(key, content), received)

    def _take_entry(self, record: KeyedRecord, received: Received) -> None:
        if not record.content:
            self._take_removal(record.key, received)
            return
        match decode_entry(record.key, record.content):
            case Some(entry):
                taken = put(self._core.roster, entry)
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
                    source=received.source,
                    age_s=journal.round_seconds(received.age_s),
                )
            case _:
                _tell_unreadable(record.key)

    def _take_removal(self, name: str, received: Received) -> None:
        roster = self._core.roster
        now = self._core.now()
        gone = drop(roster, name, now, received.before)
        seat = roster.seats.get(name)
        self._core.forget_unlisted()
        journal.write_decision(
            'endpoint_gone' if gone else 'endpoint_lapsed',
            endpoint=name,
            source=received.source,
            age_s=journal.round_seconds(received.age_s),
            used_for_s=journal.round_seconds(seat.until - now) if seat else 0,
        )

    def _take_entries(
        self,
        records: Mapping[str, bytes],
        received: Received,
    ) -> None:
        entries, unreadable = [], []
        for key, content in records.items():
            match decode_entry(key, content):
                case Some(entry):
                    entries.append(entry)
                case _:
                    unreadable.append(key)
                    _tell_unreadable(key)
        now = self._core.now()
        replace(
            self._core.roster,
            entries,
            unreadable,
            now,
            received.before,
        )
        self._core.forget_unlisted()
        journal.write_decision(
            'endpoints',
            readable=len(entries),
            listed=len(records),
        )


def follow_store(core: Core, exchange: PeerExchange) -> list[Follower]:
    """Follow the store together with the peers of an exchange."""
    followers = RecordHandlers(core).followers(exchange.broadcast)
    exchange.followed = functools.partial(_list_followed, followers)
    exchange.list_ages = functools.partial(_list_ages, core)
    exchange.on_update = functools.partial(_give_news, followers)
    return followers


def _list_followed(followers: Sequence[Follower]) -> Mapping[str, int]:
    return {
        one.subject.topic: one.position
        for one in followers
        if one.is_polling_store()
    }


def _list_ages(core: Core) -> Mapping[str, float]:
    """Return for how long the store has not confirmed each topic."""
    now = core.now()
    return {
        topic: freshness.find_age(now)
        for topic, freshness in core.freshness.items()
        if freshness.is_known
    }


def _give_news(followers: Sequence[Follower], news: TopicUpdate) -> None:
    for follower in followers:
        if follower.subject.topic == news.topic:
            follower.receive_update(news)


def _tell_unreadable(endpoint: str) -> None:
    journal.write_decision('endpoint_unreadable', endpoint=endpoint)
