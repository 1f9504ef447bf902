"""Handlers that apply records of the store to catalog and roster."""

import functools
from collections.abc import Callable, Mapping, Sequence
from typing import Final, final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Failure, Success

from verbenahall import journal, metrics
from verbenahall.catalog import apply_catalog
from verbenahall.endpoint_health import list_failing
from verbenahall.gateway._core import Core
from verbenahall.gateway._followers import Follower
from verbenahall.gateway._update_forwarder import UpdateForwarder
from verbenahall.peers import PeerExchange, TopicUpdate
from verbenahall.platform import (
    ENDPOINTS_TOPIC,
    MANIFEST_KEY,
    OPERATOR_TOPIC,
    KeyedRecord,
    decode_entry,
    decode_manifest,
    is_leaving,
)
from verbenahall.isolation import isolate_record
from verbenahall.roster import (
    Entry,
    apply_entry,
    apply_leaving,
    apply_list,
    apply_removal,
)
from verbenahall.store_relay import Received, TopicHandler

#: Pause between a manifest and the poll for the next one, in seconds. A
#: manifest must be in force within two seconds.
_MANIFEST_PAUSE_S: Final = 0.2
#: Pause between changes of the endpoints and the next poll, as a share of the
#: time for which a leaving endpoint may still get work. Engines are listed and
#: replaced one by one; without the pause each change would cost the store a
#: call.
_ENDPOINTS_PAUSE_SHARE: Final = 0.25


@final
class RecordHandlers:
    """Applies records of the store to the core's catalog and roster."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Apply records to this core."""
        self._core = core

    def make_followers(
        self,
        broadcast: Callable[[TopicUpdate], None],
    ) -> list[Follower]:
        """Return one follower per topic; ``broadcast`` sends to the peers."""
        pause_s = self._core.settings.bounds.leaving_s * _ENDPOINTS_PAUSE_SHARE
        handlers = (
            TopicHandler(
                OPERATOR_TOPIC,
                self._apply_manifest,
                self._apply_manifests,
                _MANIFEST_PAUSE_S,
                newest_only=True,
            ),
            TopicHandler(
                ENDPOINTS_TOPIC,
                self._apply_entry,
                self._apply_entries,
                pause_s,
            ),
        )
        return [
            Follower(self._core, handler, broadcast) for handler in handlers
        ]

    def _apply_manifest(self, record: KeyedRecord, received: Received) -> bool:
        """Apply a manifest; return whether the record was a readable one."""
        if record.key != MANIFEST_KEY or not record.content:
            return False
        match decode_manifest(record.content):
            case Success(catalog):
                adopted = apply_catalog(self._core.catalog, catalog)
                if adopted:
                    self._core.fair_shares.apply_keys(catalog.keys)
                    metrics.MANIFEST_AGE_SECONDS.observe(
                        received.age_s, received.source
                    )
                journal.write_decision(
                    'manifest',
                    version=catalog.version,
                    routes=sum(map(len, catalog.routes.values())),
                    in_force=adopted,
                    source=received.source,
                    age_s=journal.round_to_ms(received.age_s),
                )
                return True
            case Failure(problem):
                journal.write_decision(
                    'manifest_unreadable',
                    reason=problem.message,
                )
        return False

    def _apply_manifests(
        self,
        records: Mapping[str, bytes],
        received: Received,
    ) -> None:
        for key, content in records.items():
            with isolate_record(OPERATOR_TOPIC, key):
                self._apply_manifest(KeyedRecord(key, content), received)

    def _apply_entry(self, record: KeyedRecord, received: Received) -> None:
        if not record.content:
            self._apply_removal(record.key, received)
            return
        match decode_entry(record.key, record.content):
            case Some(entry):
                self._core.stream_versions.record_listed(entry)
                now = self._core.now()
                known = self._core.roster.find_entry(entry.name)
                applied = apply_entry(self._core.roster, entry, now)
                listing = self._core.roster.listings.get(entry.name)
                trusted_from = listing.trusted_from if listing else now
                if not applied:
                    metrics.ENTRIES_SKIPPED.add('outdated')
                journal.write_decision(
                    'endpoint',
                    endpoint=entry.name,
                    service=entry.service,
                    address=entry.address,
                    role=entry.role.value if entry.role else None,
                    software=entry.version,
                    leaving=entry.leaving,
                    born=entry.born,
                    change=entry.change,
                    known_change=known.change if known else None,
                    taken=applied,
                    avoided_s=journal.round_to_ms(max(0, trusted_from - now)),
                    source=received.source,
                    age_s=journal.round_to_ms(received.age_s),
                )
            case _:
                self._apply_unreadable(record)

    def _apply_unreadable(self, record: KeyedRecord) -> None:
        """Keep an endpoint's last entry, unless the new one says it leaves."""
        leaves = is_leaving(record.content)
        applied = leaves and apply_leaving(self._core.roster, record.key)
        metrics.ENTRIES_SKIPPED.add('unreadable')
        journal.write_decision(
            'endpoint_unreadable',
            endpoint=record.key,
            leaving=leaves,
            taken=applied,
        )

    def _apply_removal(self, name: str, received: Received) -> None:
        roster = self._core.roster
        now = self._core.now()
        removed = apply_removal(
            roster,
            name,
            now,
            received.before,
            has_failed=name in list_failing(self._core.endpoint_health, now),
        )
        listing = roster.listings.get(name)
        self._core.remove_unlisted()
        journal.write_decision(
            'endpoint_gone' if removed else 'endpoint_lapsed',
            endpoint=name,
            source=received.source,
            age_s=journal.round_to_ms(received.age_s),
            used_for_s=journal.round_to_ms(listing.usable_until - now)
            if listing
            else 0,
        )

    def _apply_entries(
        self,
        records: Mapping[str, bytes],
        received: Received,
    ) -> None:
        entries: list[Entry] = []
        unreadable: list[KeyedRecord] = []
        for key, content in records.items():
            match _decode_safely(key, content):
                case Some(entry):
                    entries.append(entry)
                case _:
                    unreadable.append(KeyedRecord(key, content))
        now = self._core.now()
        apply_list(
            self._core.roster,
            entries,
            [one.key for one in unreadable],
            now,
            received.before,
            has_returned=received.has_returned,
            failed=list_failing(self._core.endpoint_health, now),
        )
        for skipped in unreadable:
            self._apply_unreadable(skipped)
        self._core.remove_unlisted()
        journal.write_decision(
            'endpoints',
            readable=len(entries),
            listed=len(records),
        )


def _decode_safely(key: str, content: bytes) -> Maybe[Entry]:
    with isolate_record(ENDPOINTS_TOPIC, key):
        return decode_entry(key, content)
    return Nothing


def make_followers(core: Core, exchange: PeerExchange) -> list[Follower]:
    """Return followers that share their reads with the peers of an exchange."""
    followers = RecordHandlers(core).make_followers(exchange.broadcast)
    exchange.followed_positions = functools.partial(_list_followed, followers)
    exchange.list_ages = functools.partial(_list_ages, core)
    exchange.on_update = functools.partial(
        _dispatch_update, followers, UpdateForwarder(core, exchange)
    )
    return followers


def _list_followed(followers: Sequence[Follower]) -> Mapping[str, int]:
    return {
        one.handler.topic: one.position
        for one in followers
        if one.is_polling_store()
    }


def _list_ages(core: Core) -> Mapping[str, float]:
    """Return the seconds since the store last confirmed each topic."""
    now = core.now()
    return {
        topic: freshness.find_age(now)
        for topic, freshness in core.freshness.items()
        if freshness.is_known
    }


def _dispatch_update(
    followers: Sequence[Follower],
    forwarder: UpdateForwarder,
    update: TopicUpdate,
) -> None:
    for follower in followers:
        if follower.handler.topic == update.topic:
            follower.receive_update(update)
            forwarder.receive(update, follower.local.standby)
