"""The datagrams between instances: their open work, and news of the store."""

import base64
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.placement import Totals


@dataclasses.dataclass(frozen=True, slots=True)
class Word:
    """Open work by engine, as the instance ``author`` sends it.

    ``number`` grows with each word of one start of the author, so that a
    datagram that was overtaken does not undo a newer one. ``changing`` names
    engines that the author has ordered to change and that take no work, and
    ``speed`` is what it has learned about reading. ``followed`` tells up to
    which record the author has read each topic that it follows at the store.
    """

    author: str
    number: int
    loads: Mapping[str, Totals]
    data_centre: str = ''
    changing: tuple[str, ...] = ()
    speed: tuple[float, ...] = ()
    followed: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Records of a topic that the author has just read from the store.

    ``records`` begin at the offset ``start``; they are left out when they are
    too long for a datagram, and ``end`` says how far the topic goes. After a
    cut from the store, ``cut`` tells that entries may be gone by the cut.
    """

    topic: str
    start: int
    records: Sequence[bytes]
    end: int
    cut: bool = False


def encode_word(word: Word) -> bytes:
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
        },
    )


def encode_news(news: News) -> bytes:
    """Encode news; records are bytes of any kind."""
    return wire.encode(
        {
            'topic': news.topic,
            'start': news.start,
            'records': [base64.b64encode(one).decode() for one in news.records],
            'end': news.end,
            'cut': news.cut,
        },
    )


def decode_message(datagram: bytes) -> Maybe[Word | News]:
    """Decode a datagram; Nothing when it is neither."""
    match wire.decode_table(datagram):
        case Success({'topic': _} as table):
            return _decode_news(table)
        case Success(table):
            return _decode_word(table)
        case _:
            return Nothing


def _decode_news(table: dict[str, Any]) -> Maybe[News]:
    match table:
        case {
            'topic': str(topic),
            'start': int(start),
            'records': list(records),
            'end': int(end),
            'cut': bool(cut),
        }:
            return _read_records(records).map(
                lambda read: News(topic, start, read, end, cut),
            )
        case _:
            return Nothing


def _read_records(records: list[Any]) -> Maybe[Sequence[bytes]]:
    try:
        return Some([base64.b64decode(one, validate=True) for one in records])
    except (TypeError, ValueError):
        return Nothing


def _decode_word(table: dict[str, Any]) -> Maybe[Word]:
    match table:
        case {
            'from': str(author),
            'n': int(number),
            'load': dict(loads),
            'changing': list(changing),
            'speed': list(speed),
            'dc': str(data_centre),
            'followed': dict(followed),
        }:
            word = Word(author, number, loads, data_centre, followed=followed)
            return _type_members(word, changing, speed)
        case _:
            return Nothing


def _type_members(
    word: Word,
    changing: list[Any],
    speed: list[Any],
) -> Maybe[Word]:
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
            ),
        )
    except (TypeError, ValueError):
        return Nothing
