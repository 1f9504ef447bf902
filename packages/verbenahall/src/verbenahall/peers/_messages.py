"""Datagrams between instances: heartbeats and updates of store topics."""

import base64
import dataclasses
import itertools
import zlib
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.capacity import Demands, export_demands, read_demands
from verbenahall.engine_speeds import (
    MAX_FACTOR,
    MAX_FACTORS,
    ReportedFactor,
)
from verbenahall.placement import Totals

#: Maximum size of the encoded records in an update, in bytes. A datagram longer
#: than 1,400 bytes is fragmented by the network, and lost with any fragment.
_UPDATE_BYTES: Final = 1200
#: Maximum size of a single encoded record, in bytes. A long record, such as a
#: manifest, is sent although its datagram is fragmented. If it were not sent,
#: each change would cost the store a call for each instance.
_RECORD_BYTES: Final = 8000
#: Decimal places of an age in seconds: milliseconds.
_AGE_DECIMALS: Final = 3
#: Factors on durations are encoded in thousandths.
_THOUSAND: Final = 1000
#: Level of compression: the fastest, as the payloads are short.
_COMPRESSION_LEVEL: Final = 1
#: Bytes of the length that precedes each record.
_LENGTH_BYTES: Final = 4
#: Engine time of a workspace in a report at most, in milliseconds: that of a
#: thousand engines over the three seconds for which it is kept.
_MAX_MS: Final = 3_000_000.0
#: Bandwidth of a link that a peer may state at most, in Mbit/s.
_MAX_LINK_MEGABITS: Final = 10_000_000.0
#: Bytes that the records of one update may decompress to.
_MAX_UNPACKED_BYTES: Final = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of the instance ``author``, sent to its peers at short intervals.

    ``number`` increases with each heartbeat and starts again when the author is
    restarted, so that a delayed datagram doesn't overwrite a newer one.
    ``loads`` is the author's open work by engine, ``changing`` the engines that
    it has ordered to change their role and that accept no work, and ``speed``
    its measurements of prefill speed. ``followed_positions`` holds the next
    position of each topic that the author follows, ``ages`` the seconds
    since the store last confirmed that it holds nothing newer, and ``cores``
    how many processor cores the author may use. ``unreachable`` holds the
    services of which the author reaches no endpoint. ``connection_rate`` is how
    many new connections it gets per second, None if it does not state it.
    ``factors`` are those on durations at engines unlike the typical one.
    ``charged`` is the engine time in milliseconds that it has charged to
    workspaces of late, empty in most heartbeats.
    ``demand`` is what it sends to the services that are scaled, and
    ``link_megabits`` the bandwidth of its link in Mbit/s, 0 if it is unknown.
    """

    author: str
    number: int
    loads: Mapping[str, Totals]
    data_centre: str = ''
    changing: tuple[str, ...] = ()
    speed: tuple[float, ...] = ()
    followed_positions: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    cores: float = 1
    ages: Mapping[str, float] = dataclasses.field(default_factory=dict)
    unreachable: tuple[str, ...] = ()
    connection_rate: float | None = None
    factors: Sequence[ReportedFactor] = ()
    charged: Mapping[str, float] = dataclasses.field(default_factory=dict)
    demand: Demands = dataclasses.field(default_factory=dict)
    link_megabits: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareReport:
    """Engine time in milliseconds that ``author`` has charged to workspaces.

    A scheduler sends it to those of other data centres, which get none of its
    heartbeats.
    """

    author: str
    charged: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class TopicUpdate:
    """Records of a topic that a peer has just read from the store.

    ``records`` begin at the position ``start``, and ``end`` is the one after
    the last of them. Records that are too long for a datagram are left out, but
    counted in ``end``. ``after_outage`` is set if calls of the sender to the
    store have failed lately, so that missing entries may be due to the
    outage. ``author`` is the instance that has read the records, and
    ``is_forwarded`` whether an instance of another data centre has. An instance
    of an earlier version of this system states no author.
    """

    topic: str
    start: int
    records: Sequence[bytes]
    end: int
    after_outage: bool = False
    author: str = ''
    is_forwarded: bool = False

    @property
    def is_cut(self) -> bool:
        """Whether records were left out that were too long."""
        return self.end > self.start + len(self.records)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat, with short keys as it is sent many times a second."""
    return wire.encode(
        {
            'from': heartbeat.author,
            'n': heartbeat.number,
            'load': {
                engine: (
                    totals.prefill_tokens,
                    totals.held_tokens,
                    totals.streams,
                )
                for engine, totals in heartbeat.loads.items()
            },
            'changing': heartbeat.changing,
            'speed': heartbeat.speed,
            'dc': heartbeat.data_centre,
            'followed': dict(heartbeat.followed_positions),
            'cores': heartbeat.cores,
            'ages': {
                topic: round(age_s, _AGE_DECIMALS)
                for topic, age_s in heartbeat.ages.items()
            },
            'connections': heartbeat.connection_rate,
            **_encode_optional(heartbeat),
        },
    )


def _encode_optional(heartbeat: Heartbeat) -> Mapping[str, Any]:
    """Return the fields that are left out while they are empty."""
    fields = {
        'unreachable': heartbeat.unreachable,
        'charged': dict(heartbeat.charged),
        'factors': _encode_factors(heartbeat.factors),
        'demand': export_demands(heartbeat.demand),
        'link': heartbeat.link_megabits,
    }
    return {key: content for key, content in fields.items() if content}


def encode_shares(report: ShareReport) -> bytes:
    """Encode a report to the schedulers of other data centres."""
    return wire.encode({'from': report.author, 'shares': dict(report.charged)})


def _encode_factors(factors: Sequence[ReportedFactor]) -> Mapping[str, Any]:
    """Return the factors in thousandths."""
    return {
        one.name: (
            one.born,
            round(one.prefill * _THOUSAND),
            round(one.step * _THOUSAND),
        )
        for one in factors
    }


def encode_update(update: TopicUpdate) -> bytes:
    """Encode an update, whose records may hold any bytes."""
    return wire.encode(
        {
            'topic': update.topic,
            'start': update.start,
            'records': _pack(update.records),
            'end': update.end,
            'cut': update.after_outage,
            'by': update.author,
            'forwarded': update.is_forwarded,
        },
    )


def split_update(update: TopicUpdate) -> Sequence[TopicUpdate]:
    """Split an update into parts that each fit into a datagram.

    Each part has the offsets of its own records, so the receiver notices a
    lost part when the next one arrives. A record that is too long for any
    datagram becomes a part without records. By its ``end`` the receiver detects
    that a record is missing, and reads it from the store.
    """
    parts: list[TopicUpdate] = []
    for offset, record in enumerate(update.records, update.start):
        part = dataclasses.replace(
            update, start=offset, records=(record,), end=offset + 1
        )
        joined = _join(parts[-1], part) if parts else part
        if parts and _fits(joined):
            parts[-1] = joined
        else:
            parts.append(part)
    return [
        part if _is_sendable(part) else dataclasses.replace(part, records=())
        for part in parts
    ]


def _join(first: TopicUpdate, second: TopicUpdate) -> TopicUpdate:
    records = (*first.records, *second.records)
    return dataclasses.replace(first, records=records, end=second.end)


def _fits(update: TopicUpdate) -> bool:
    return len(_pack(update.records)) <= _UPDATE_BYTES


def _is_sendable(update: TopicUpdate) -> bool:
    return len(_pack(update.records)) <= _RECORD_BYTES


def decode_message(
    datagram: bytes,
) -> Maybe[Heartbeat | TopicUpdate | ShareReport]:
    """Decode a datagram; Nothing if it is none of the three."""
    match wire.decode_table(datagram):
        case Success({'topic': _} as table):
            return _decode_update(table)
        case Success({'shares': charged, 'from': str(author)}):
            return _decode_shares(author, charged)
        case Success(table):
            return _decode_heartbeat(table)
        case _:
            return Nothing


def _decode_shares(author: str, charged: Any) -> Maybe[ShareReport]:
    try:
        return Some(ShareReport(author, _convert_charged(charged)))
    except (AttributeError, TypeError, ValueError):
        return Nothing


def _convert_charged(charged: Any) -> Mapping[str, float]:
    """Check reported engine times; raises ValueError for an invalid one."""
    converted = {name: float(spent_ms) for name, spent_ms in charged.items()}
    if not all(0 <= spent_ms <= _MAX_MS for spent_ms in converted.values()):
        raise ValueError('an engine time is out of range')
    return converted


def _decode_update(table: dict[str, Any]) -> Maybe[TopicUpdate]:
    match table:
        case {
            'topic': str(topic),
            'start': int(start),
            'records': str(packed),
            'end': int(end),
            'cut': bool(after_outage),
        }:
            author = table.get('by')
            return _unpack(packed).map(
                lambda records: TopicUpdate(
                    topic,
                    start,
                    records,
                    end,
                    after_outage,
                    author if isinstance(author, str) else '',
                    table.get('forwarded') is True,
                ),
            )
        case _:
            return Nothing


def _pack(records: Sequence[bytes]) -> str:
    """Compress records together and encode them as text.

    Entries of endpoints differ in a few fields only and compress well. If
    they were sent uncompressed, those of a starting fleet would saturate the
    network, datagrams would get lost, and every instance would read the
    records from the store.
    """
    framed = bytearray()
    for record in records:
        framed += len(record).to_bytes(_LENGTH_BYTES)
        framed += record
    packed = zlib.compress(framed, _COMPRESSION_LEVEL)
    return base64.b64encode(packed).decode()


def _unpack(packed: str) -> Maybe[Sequence[bytes]]:
    try:
        return Some(_split_frames(_inflate(packed)))
    except (ValueError, zlib.error):
        return Nothing


def _inflate(packed: str) -> bytes:
    """Decompress records; ValueError if they are too long or incomplete."""
    inflater = zlib.decompressobj()
    compressed = base64.b64decode(packed, validate=True)
    framed = inflater.decompress(compressed, _MAX_UNPACKED_BYTES)
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError('records are too long or incomplete')
    return framed


def _split_frames(framed: bytes) -> Sequence[bytes]:
    records: list[bytes] = []
    start = 0
    while start < len(framed):
        begin = start + _LENGTH_BYTES
        start = begin + int.from_bytes(framed[start:begin])
        records.append(framed[begin:start])
    if start > len(framed):
        raise ValueError('the last record is truncated')
    return records


def _decode_heartbeat(table: dict[str, Any]) -> Maybe[Heartbeat]:
    match table:
        case {
            'from': str(author),
            'n': int(number),
            'load': dict(loads),
            'changing': list(changing),
            'speed': list(speed),
            'dc': str(data_centre),
            'followed': dict(followed_positions),
            'cores': int() | float() as cores,
        }:
            heartbeat = Heartbeat(
                author,
                number,
                loads,
                data_centre,
                followed_positions=followed_positions,
                cores=cores,
            )
            return _convert_members(
                heartbeat,
                changing,
                speed,
                table,
            )
        case _:
            return Nothing


def _convert_members(
    heartbeat: Heartbeat,
    changing: list[Any],
    speed: list[Any],
    table: dict[str, Any],
) -> Maybe[Heartbeat]:
    """Check and convert the members of the containers.

    One invalid member invalidates the whole heartbeat. ``table`` may lack the
    optional ones.
    """
    offsets = heartbeat.followed_positions.values()
    unreachable = table.get('unreachable', [])
    if not _is_list_of_text(changing) or not _is_list_of_text(unreachable):
        return Nothing
    if not all(isinstance(offset, int) for offset in offsets):
        return Nothing
    try:
        return Some(
            dataclasses.replace(
                heartbeat,
                loads={
                    engine: Totals(*(int(count) for count in counts))
                    for engine, counts in heartbeat.loads.items()
                },
                changing=tuple(changing),
                speed=tuple(map(float, speed)),
                ages=_convert_ages(table.get('ages', {})),
                unreachable=tuple(unreachable),
                connection_rate=_convert_rate(table.get('connections')),
                factors=tuple(_convert_factors(table.get('factors', {}))),
                charged=_convert_charged(table.get('charged', {})),
                demand=read_demands(table.get('demand', {})),
                link_megabits=_convert_link(table.get('link', 0)),
            ),
        )
    except (AttributeError, TypeError, ValueError):
        return Nothing


def _convert_link(found: Any) -> float:
    megabits = float(found)
    if not 0 <= megabits <= _MAX_LINK_MEGABITS:
        raise ValueError('a bandwidth is out of range')
    return megabits


def _convert_rate(found: Any) -> float | None:
    return None if found is None else float(found)


def _convert_factors(found: Any) -> Iterator[ReportedFactor]:
    """Yield the factors; ValueError if one is out of range."""
    for name, (born, *factors) in itertools.islice(found.items(), MAX_FACTORS):
        prefill, step = (float(one) / _THOUSAND for one in factors)
        if not (0 <= prefill <= MAX_FACTOR and 0 <= step <= MAX_FACTOR):
            raise ValueError(f'factors of {name} are out of range')
        yield ReportedFactor(name, int(born), prefill, step)


def _is_list_of_text(members: Any) -> bool:
    return isinstance(members, list) and all(
        isinstance(member, str) for member in members
    )


def _convert_ages(ages: Any) -> Mapping[str, float]:
    return {topic: float(age_s) for topic, age_s in ages.items()}
