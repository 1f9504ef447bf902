"""Records and finds the software versions at which streams began."""

import asyncio
import collections
import functools
import math
from collections.abc import Iterable, Sequence
from typing import Final, final

from returns.maybe import Maybe, Some

from verbenahall import journal, metrics
from verbenahall.gateway._core import Core
from verbenahall.gateway._list_confirmation import ListConfirmation
from verbenahall.gateway._messages import Call
from verbenahall.gateway._stored_versions import StoredVersions
from verbenahall.gateway._stream_life import ManifestLife
from verbenahall.gateway._version_queries import VersionQueries
from verbenahall.peers import PeerExchange
from verbenahall.platform import ENDPOINTS_TOPIC
from verbenahall.roster import Entry
from verbenahall.stream_versions import (
    Beginning,
    Evidence,
    Reply,
    StreamRecord,
    StreamRecords,
    VersionHistory,
    VersionQuery,
    choose_owners,
    choose_queried,
    decide_version,
    decode,
    encode,
    has_owners,
    make_stream_key,
)

#: Interval at which the listed versions are recorded, in seconds, and what it
#: is longer by for each endpoint: in a large fleet the pass takes milliseconds.
_TICK_S: Final = 0.1
_TICK_FOR_EACH_S: Final = 0.00005
#: How long versions are kept beyond the life of streams, in seconds: the
#: timeouts of the next manifest may be longer.
_KEPT_S: Final = 60.0
#: Evidence by which an instance decides without its peers.
_SUFFICIENT: Final = frozenset((Evidence.RECORDED, Evidence.SOLE))
#: Number of endpoints by service and software version.
_Counts = dict[str, collections.Counter[str]]


@final
class StreamVersions:
    """Knows the versions of streams, with the help of the peers.

    ``history`` holds the versions of each service and ``records`` the streams
    that began here or were received from a peer. ``list_confirmation`` tells
    whether the list of endpoints is complete.
    """

    __slots__ = (
        'history',
        'records',
        'list_confirmation',
        '_core',
        '_exchange',
        '_life',
        '_next_handler',
        '_queries',
        '_reported',
        '_stored',
    )

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Install the handlers in the core and in the peers' exchange."""
        self.history = VersionHistory()
        self.records = StreamRecords()
        self.list_confirmation = ListConfirmation(
            core.freshness[ENDPOINTS_TOPIC], core.now
        )
        self._core = core
        self._exchange = exchange
        self._next_handler = exchange.datagram_handler
        self._queries = VersionQueries(core, self._send)
        self._reported: _Counts = {}
        self._life = ManifestLife(core.catalog)
        self._stored = StoredVersions(
            core, functools.partial(_find_position, exchange)
        )
        core.stream_versions = self
        exchange.datagram_handler = self.handle_datagram

    async def run(self) -> None:
        """Record the listed versions, until cancelled."""
        while True:
            now = self._core.now()
            self.update(now)
            life_s = self._life.find_s(now)
            await self._stored.exchange(self.history, life_s, now)
            endpoints = len(self._core.roster.listings)
            await asyncio.sleep(_TICK_S + endpoints * _TICK_FOR_EACH_S)

    def update(self, now: float) -> None:
        """Record the listed versions; replicate streams of several versions."""
        if not self._core.roster.is_loaded:
            return
        self._record_listed(now)
        life_s = self._life.find_s(now)
        if life_s is not None:
            self.history.forget(now - life_s - _KEPT_S)
            self.records.forget(now - life_s)
        if has_owners(self._core.peer_table, now):
            for key, record in tuple(self.records.list_unreplicated()):
                self._replicate(key, record, now)

    def record_listed(self, entry: Entry) -> None:
        """Record the version in an entry, however short it is listed."""
        self.history.record(entry.service, entry.version, self._core.now())

    def record_begun(self, call: Call, engine: Entry) -> None:
        """Record that an engine brings the first event of a call's stream."""
        if not call.head.identity:
            return
        now = self._core.now()
        service = call.service.name
        self.history.record(service, engine.version, now)
        key = _make_key(call, call.head.identity)
        record = StreamRecord(service, engine.version, now, is_replicated=False)
        self.records.add(key, record)
        self._replicate(key, record, now)

    async def find(self, call: Call) -> Maybe[str]:
        """Return the version of the stream that a call takes up.

        Nothing means that it is unknown. Takes 0.12 s at most, and as long as
        two reads of the store: only a list that is complete by now shows that
        the stream can't have begun at a version that this instance has missed.
        """
        started = self._core.now()
        key = _make_resumed_key(call)
        service = call.service.name
        is_recorded = self.records.find(key) is not None
        is_confirmed = is_recorded or await self.list_confirmation.confirm(
            started
        )
        self._record_listed(self._core.now())
        replies = [self._answer(VersionQuery(0, key, service), started)]
        if not (is_confirmed and replies[0].evidence in _SUFFICIENT):
            replies.extend(await self._queries.send(key, service))
        found = self._decide(service, replies, is_confirmed=is_confirmed)
        now = self._core.now()
        if key and isinstance(found, Some):
            record = StreamRecord(
                service, found.unwrap(), now, is_replicated=True
            )
            self.records.add(key, record)
        _log_found(call, found, replies, now - started)
        return found

    def handle_datagram(self, datagram: bytes, sender: str) -> bool:
        """Handle a peer's message; pass other datagrams on."""
        message = decode(datagram)
        if not isinstance(message, Some):
            return self._next_handler(datagram, sender)
        now = self._core.now()
        match message.unwrap():
            case Beginning(key, service, version, age_s):
                self.history.record(service, version, now - age_s)
                self.records.add(
                    key,
                    StreamRecord(
                        service, version, now - age_s, is_replicated=True
                    ),
                )
            case VersionQuery() as query:
                self._record_listed(now)
                self._send(self._answer(query, now), [sender])
            case Reply() as reply:
                self._queries.receive(reply, sender)
        return True

    def _answer(self, query: VersionQuery, now: float) -> Reply:
        number = query.number
        record = self.records.find(query.key)
        if record is not None:
            return Reply(number, Evidence.RECORDED, record.version)
        life_s = self._life.find_s(now)
        if life_s is None:
            return Reply(number, Evidence.UNKNOWN)
        since = now - life_s
        sole = self.history.find_sole(query.service, since)
        if isinstance(sole, Some):
            return Reply(number, Evidence.SOLE, sole.unwrap())
        listed = self.history.find_listed(query.service, since)
        if isinstance(listed, Some):
            return Reply(number, Evidence.LISTED, listed.unwrap())
        versions = self.history.list_versions(query.service, since)
        if len(versions) > 1:
            return Reply(number, Evidence.SEVERAL)
        return Reply(number, Evidence.UNKNOWN)

    def _decide(
        self, service: str, replies: Sequence[Reply], *, is_confirmed: bool
    ) -> Maybe[str]:
        now = self._core.now()
        life_s = self._life.find_s(now)
        since = -math.inf if life_s is None else now - life_s
        listed = self.history.list_versions(service, since)
        queried = len(choose_queried(self._core.peer_table, service)) + 1
        return decide_version(
            replies, listed, queried, is_confirmed=is_confirmed
        )

    def _record_listed(self, now: float) -> None:
        core = self._core
        freshness = core.freshness[ENDPOINTS_TOPIC]
        entries = [one.entry for one in core.roster.listings.values()]
        self.history.record_listed(
            entries,
            now,
            is_recent=freshness.find_age(now) <= freshness.usable_s,
        )
        self._reported = _log_changes(entries, self._reported)

    def _replicate(self, key: str, record: StreamRecord, now: float) -> None:
        """Send a stream to its owners, unless its service has one version.

        While no peer is live it has none, and ``update`` sends it later.
        """
        life_s = self._life.find_s(now)
        if life_s is not None and isinstance(
            self.history.find_sole(record.service, now - life_s), Some
        ):
            return
        peer_table = self._core.peer_table
        owners = choose_owners(peer_table, key, now)
        age_s = max(0, now - record.began_at)
        record.is_replicated = bool(owners)
        self._send(
            Beginning(key, record.service, record.version, age_s),
            [peer_table.peers[name].address for name in owners],
        )

    def _send(
        self,
        message: Beginning | VersionQuery | Reply,
        addresses: Iterable[str],
    ) -> None:
        datagram = encode(message)
        for address in addresses:
            self._exchange.send(datagram, address)


def _make_key(call: Call, request: str) -> str:
    workspace = call.workspace.name if call.workspace else ''
    return make_stream_key(call.service.name, workspace, request)


def _find_position(exchange: PeerExchange) -> int | None:
    """Return how far this instance has read the list at the store."""
    return exchange.followed_positions().get(ENDPOINTS_TOPIC)


def _make_resumed_key(call: Call) -> str:
    """Return the key of the stream that a call names, empty for none."""
    resumes = call.head.resumes
    return _make_key(call, resumes) if resumes else ''


def _log_changes(entries: Iterable[Entry], reported: _Counts) -> _Counts:
    """Log the services whose versions have changed; return all versions."""
    counts: _Counts = collections.defaultdict(collections.Counter)
    for entry in entries:
        counts[entry.service][entry.version] += 1
    for service, versions in counts.items():
        if versions.keys() != reported.get(service, {}).keys():
            journal.write_decision(
                'service_versions', service=service, endpoints=versions
            )
    return counts


def _log_found(
    call: Call, found: Maybe[str], replies: Iterable[Reply], took_s: float
) -> None:
    known_by = sorted({one.evidence.value for one in replies})
    outcome = 'found' if isinstance(found, Some) else 'unknown'
    metrics.STREAMS_TAKEN_UP.add(outcome)
    journal.write_decision(
        'taken_up',
        request=call.head.identity,
        resumes=call.head.resumes or None,
        software=found.value_or(None),
        known_by=known_by,
        took_s=journal.round_to_ms(took_s),
    )
