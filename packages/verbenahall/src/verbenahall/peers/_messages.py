"""The datagram in which an instance tells its open work."""

import dataclasses
from collections.abc import Mapping
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
    ``speed`` is what it has learned about reading.
    """

    author: str
    number: int
    loads: Mapping[str, Totals]
    data_centre: str = ''
    changing: tuple[str, ...] = ()
    speed: tuple[float, ...] = ()


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
        },
    )


def decode_word(datagram: bytes) -> Maybe[Word]:
    """Decode a datagram; Nothing when it is not a word."""
    match wire.decode_table(datagram):
        case Success(
            {
                'from': str(author),
                'n': int(number),
                'load': dict(loads),
                'changing': list(changing),
                'speed': list(speed),
                'dc': str(data_centre),
            },
        ):
            word = Word(author, number, loads, data_centre)
            return _type_members(word, changing, speed)
        case _:
            return Nothing


def _type_members(
    word: Word,
    changing: list[Any],
    speed: list[Any],
) -> Maybe[Word]:
    """Check what the containers hold; a word is believed whole or not."""
    if not all(isinstance(engine, str) for engine in changing):
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
