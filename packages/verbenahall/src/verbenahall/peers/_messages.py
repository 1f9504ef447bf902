"""The datagrams between instances: their open work, and news of the store."""

import base64
import dataclasses
import zlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.placement import Totals

#: Bytes of the records in a datagram of news, as encoded. A datagram longer
#: than 1,400 bytes is cut in pieces on the way, and lost with any of them.
_NEWS_BYTES: Final = 1200
#: Bytes of a single record, as encoded, that is sent in pieces all the same: a
#: manifest. Left to the store, each of its changes cost a call for each
#: instance.
_RECORD_BYTES: Final = 8000
#: Digits of an age: milliseconds.
_AGE_DIGITS: Final = 3
#: Level of compression: the fastest, as bytes are few.
_LEVEL: Final = 1
#: Bytes of a record's length before it.
_LENGTH_BYTES: Final = 4
#: Bytes that a datagram of news may unpack to.
_MOST_UNPACKED: Final = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Open work by engine, as the instance ``author`` sends it.

    ``number`` grows with each word of one start of the author, so that a
    datagram that was overtaken does not undo a newer one. ``changing`` names
    engines that the author has ordered to change and that take no work, and
    ``speed`` is what it has learned about reading. ``followed`` tells up to
    which record the author has read each topic that it follows at the store,
    ``ages`` for how many seconds the store has not confirmed that there is no
    newer one, and ``cores`` how much of the processor the author may use.
    """

    author: str
    number: int
    loads: Mapping[str, Totals]
    data_centre: str = ''
    changing: tuple[str, ...] = ()
    speed: tuple[float, ...] = ()
    followed: Mapping[str, int] = dataclasses.field(default_factory=dict)
    cores: float = 1
    ages: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class TopicUpdate:
    """Records of a topic that the author has just read from the store.

    ``records`` begin at the offset ``start``; they are left out when they are
    too long for a datagram, and ``end`` says how far the topic goes.
    ``after_outage``
    tells that the author's own calls have failed lately, so that entries may
    be gone by an outage of the store.
    """

    topic: str
    start: int
    records: Sequence[bytes]
    end: int
    after_outage: bool = False


def encode_heartbeat(word: Heartbeat) -> bytes:
    """Encode a word; short names, since it is sent many times a second."""
    return wire.encode(
        {
            'from': word.author,
            'n': word.number,
            'load': {
                engine: (totals.reading, totals.context, totals.streams)
                for engine, totals in word.loads.items()
            },
            'changing': word.changing,
            'speed': word.speed,
            'dc': word.data_centre,
            'followed': dict(word.followed),
            'cores': word.cores,
            'ages': {
                topic: round(age_s, _AGE_DIGITS)
                for topic, age_s in word.ages.items()
            },
        },
    )


def encode_update(news: TopicUpdate) -> bytes:
    """Encode news; records are bytes of any kind."""
    return wire.encode(
        {
            'topic': news.topic,
            'start': news.start,
            'records': _pack(news.records),
            'end': news.end,
            'cut': news.after_outage,
        },
    )


def split_update(news: TopicUpdate) -> Sequence[TopicUpdate]:
    """Split news into parts that each fit a datagram.

    Parts are numbered as the whole is, so one that gets lost is missed when
    the next one comes. A record too long for any makes an empty part, whose
    ``end`` tells that there is more to be read.
    """
    parts: list[TopicUpdate] = []
    for offset, record in enumerate(news.records, news.start):
        part = TopicUpdate(
            news.topic, offset, (record,), offset + 1, news.after_outage
        )
        joined = _join(parts[-1], part) if parts else part
        if parts and _fits(joined):
            parts[-1] = joined
        else:
            parts.append(part)
    return [
        part if _may_be_sent(part) else dataclasses.replace(part, records=())
        for part in parts
    ]


def _join(first: TopicUpdate, second: TopicUpdate) -> TopicUpdate:
    records = (*first.records, *second.records)
    return dataclasses.replace(first, records=records, end=second.end)


def _fits(news: TopicUpdate) -> bool:
    return len(_pack(news.records)) <= _NEWS_BYTES


def _may_be_sent(news: TopicUpdate) -> bool:
    return len(_pack(news.records)) <= _RECORD_BYTES


def decode_message(datagram: bytes) -> Maybe[Heartbeat | TopicUpdate]:
    """Decode a datagram; Nothing when it is neither."""
    match wire.decode_table(datagram):
        case Success({'topic': _} as table):
            return _decode_news(table)
        case Success(table):
            return _decode_word(table)
        case _:
            return Nothing


def _decode_news(table: dict[str, Any]) -> Maybe[TopicUpdate]:
    match table:
        case {
            'topic': str(topic),
            'start': int(start),
            'records': str(packed),
            'end': int(end),
            'cut': bool(after_outage),
        }:
            return _unpack(packed).map(
                lambda read: TopicUpdate(topic, start, read, end, after_outage),
            )
        case _:
            return Nothing


def _pack(records: Sequence[bytes]) -> str:
    """Pack records: entries of endpoints differ in a few fields only.

    Each as it is, those of a fleet that starts fill the links for a moment,
    get lost, and are read from the store by everybody.
    """
    framed = bytearray()
    for record in records:
        framed += len(record).to_bytes(_LENGTH_BYTES)
        framed += record
    packed = zlib.compress(framed, _LEVEL)
    return base64.b64encode(packed).decode()


def _unpack(packed: str) -> Maybe[Sequence[bytes]]:
    try:
        return Some(_read_frames(_inflate(packed)))
    except (ValueError, zlib.error):
        return Nothing


def _inflate(packed: str) -> bytes:
    """Unpack a datagram; one that would fill the memory is refused."""
    inflater = zlib.decompressobj()
    compressed = base64.b64decode(packed, validate=True)
    framed = inflater.decompress(compressed, _MOST_UNPACKED)
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError('more than a datagram of news may hold, or less')
    return framed


def _read_frames(framed: bytes) -> Sequence[bytes]:
    records: list[bytes] = []
    start = 0
    while start < len(framed):
        begin = start + _LENGTH_BYTES
        start = begin + int.from_bytes(framed[start:begin])
        records.append(framed[begin:start])
    if start > len(framed):
        raise ValueError('the last record is cut short')
    return records


def _decode_word(table: dict[str, Any]) -> Maybe[Heartbeat]:
    match table:
        case {
            'from': str(author),
            'n': int(number),
            'load': dict(loads),
            'changing': list(changing),
            'speed': list(speed),
            'dc': str(data_centre),
            'followed': dict(followed),
            'cores': int() | float() as cores,
        }:
            word = Heartbeat(
                author,
                number,
                loads,
                data_centre,
                followed=followed,
                cores=cores,
            )
            return _type_members(word, changing, speed, table.get('ages', {}))
        case _:
            return Nothing


def _type_members(
    word: Heartbeat,
    changing: list[Any],
    speed: list[Any],
    ages: Any,
) -> Maybe[Heartbeat]:
    """Check what the containers hold; a word is believed whole or not."""
    offsets = word.followed.values()
    if not all(isinstance(engine, str) for engine in changing):
        return Nothing
    if not all(isinstance(offset, int) for offset in offsets):
        return Nothing
    try:
        return Some(
            dataclasses.replace(
                word,
                loads={
                    engine: Totals(*(int(count) for count in counts))
                    for engine, counts in word.loads.items()
                },
                changing=tuple(changing),
                speed=tuple(map(float, speed)),
                ages={topic: float(age_s) for topic, age_s in ages.items()},
            ),
        )
    except (AttributeError, TypeError, ValueError):
        return Nothing
