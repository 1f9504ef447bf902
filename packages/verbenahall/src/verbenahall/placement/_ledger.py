"""What engines are thought to be busy with: own sends, and peers' words."""

import dataclasses
import itertools
from collections.abc import Mapping
from typing import Final, final

#: A peer's word about its own sends counts for this long, in seconds. Peers
#: speak several times a second; one that has stopped is gone or cut off.
_PEER_TRUST_S: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Open work at one engine.

    ``reading`` tokens are still to be read. An engine reads all prompts that
    it has admitted side by side, so a request waits for all of them, whatever
    their priority. ``context`` tokens are held in memory by ``streams`` that
    are being generated.
    """

    reading: int = 0
    context: int = 0
    streams: int = 0

    def plus(self, other: 'Totals') -> 'Totals':
        """Return the sum."""
        return Totals(
            self.reading + other.reading,
            self.context + other.context,
            self.streams + other.streams,
        )

    def times(self, factor: float) -> 'Totals':
        """Return the totals of so many times as many instances."""
        return Totals(
            int(self.reading * factor),
            int(self.context * factor),
            int(self.streams * factor),
        )

    def minus(self, other: 'Totals') -> 'Totals':
        """Return the difference."""
        return Totals(
            self.reading - other.reading,
            self.context - other.context,
            self.streams - other.streams,
        )


NOTHING: Final = Totals()


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """One open send: its number, its engine, and what it occupies."""

    number: int
    engine: str
    totals: Totals


@dataclasses.dataclass(frozen=True, slots=True)
class _Word:
    """What a peer said of its own open sends, and when it was heard."""

    loads: Mapping[str, Totals]
    heard_at: float

    @property
    def reads(self) -> bool:
        """Whether the peer has prompts being read."""
        return any(totals.reading for totals in self.loads.values())


@final
class Ledger:
    """Open work by engine; own sends are exact, peers' are of their age.

    The sum over all peers is kept up as their words come and go: added up
    anew for each engine of each choice, it took 60 instances more processor
    time than all other work together.
    """

    __slots__ = (
        'scale',
        '_flights',
        '_own',
        '_words',
        '_peers',
        '_readers',
        '_numbers',
    )

    def __init__(self) -> None:
        """Start with nothing open.

        ``scale`` is how many instances there are for each one that speaks to
        this one: in a large fleet only a part of them does, and the others
        are taken to send alike.
        """
        self.scale: float = 1
        self._flights: dict[int, InFlight] = {}
        self._own: dict[str, Totals] = {}
        self._words: dict[str, _Word] = {}
        self._peers: dict[str, Totals] = {}
        self._readers = 0
        self._numbers = itertools.count()

    def open(self, engine: str, totals: Totals) -> InFlight:
        """Note a send; close it with ``close``."""
        flight = InFlight(next(self._numbers), engine, totals)
        self._flights[flight.number] = flight
        _add(self._own, engine, totals)
        return flight

    def close(self, flight: InFlight) -> None:
        """Note the end of a send; a second time changes nothing."""
        if self._flights.pop(flight.number, None) is not None:
            _take(self._own, flight.engine, flight.totals)

    def note_read(self, flight: InFlight) -> InFlight:
        """Note that a send's prompt was read; return what is left of it."""
        if not flight.totals.reading or flight.number not in self._flights:
            return flight
        self.close(flight)
        return self.open(
            flight.engine,
            dataclasses.replace(flight.totals, reading=0),
        )

    def hear(self, peer: str, loads: Mapping[str, Totals], now: float) -> None:
        """Take a peer's word in place of its last one."""
        self._drop(peer)
        word = _Word(loads, now)
        self._words[peer] = word
        self._readers += word.reads
        for engine, totals in loads.items():
            _add(self._peers, engine, totals)

    def own(self) -> Mapping[str, Totals]:
        """Return this instance's open work, to tell the peers."""
        return self._own

    def own_of(self, engine: str) -> Totals:
        """Return this instance's open work at an engine."""
        return self._own.get(engine, NOTHING)

    @property
    def speakers(self) -> int:
        """How many peers' words are counted on."""
        return len(self._words)

    @property
    def readers(self) -> int:
        """How many peers have prompts being read, as far as is known."""
        return int(self._readers * self.scale)

    def totals(self, engine: str) -> Totals:
        """Return the open work of all instances at an engine."""
        own = self._own.get(engine, NOTHING)
        peers = self._peers.get(engine)
        heard = own if peers is None else own.plus(peers)
        return heard if self.scale == 1 else heard.times(self.scale)

    def forget_silent(self, now: float) -> None:
        """Forget the words of peers that have not spoken for a while."""
        for peer, word in tuple(self._words.items()):
            if now - word.heard_at >= _PEER_TRUST_S:
                self._drop(peer)

    def _drop(self, peer: str) -> None:
        word = self._words.pop(peer, None)
        if word is not None:
            self._readers -= word.reads
            for engine, totals in word.loads.items():
                _take(self._peers, engine, totals)


def _add(sums: dict[str, Totals], engine: str, totals: Totals) -> None:
    sums[engine] = sums.get(engine, NOTHING).plus(totals)


def _take(sums: dict[str, Totals], engine: str, totals: Totals) -> None:
    left = sums.get(engine, NOTHING).minus(totals)
    if left == NOTHING:
        sums.pop(engine, None)
    else:
        sums[engine] = left
