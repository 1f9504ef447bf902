"""What engines are thought to be busy with: own sends, and peers' words."""

import dataclasses
import itertools
from collections.abc import Mapping
from typing import Final, final

#: A peer's word about its own sends counts for this long, in seconds. Peers
#: speak several times a second; one that has stopped is gone or cut off.
_REPORT_TTL_S: Final = 1.5


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


NO_LOAD: Final = Totals()


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """One open send: its number, its engine, and what it occupies."""

    number: int
    engine: str
    totals: Totals


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    """What a peer said of its own open sends, and when it was heard."""

    loads: Mapping[str, Totals]
    received_at: float

    @property
    def is_prefilling(self) -> bool:
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
        '_open_sends',
        '_local',
        '_reports',
        '_peer_totals',
        '_prefilling',
        '_next_numbers',
    )

    def __init__(self) -> None:
        """Start with nothing open.

        ``scale`` is how many instances there are for each one that speaks to
        this one: in a large fleet only a part of them does, and the others
        are taken to send alike.
        """
        self.scale: float = 1
        self._open_sends: dict[int, InFlight] = {}
        self._local: dict[str, Totals] = {}
        self._reports: dict[str, _PeerReport] = {}
        self._peer_totals: dict[str, Totals] = {}
        self._prefilling = 0
        self._next_numbers = itertools.count()

    def open(self, engine: str, totals: Totals) -> InFlight:
        """Note a send; close it with ``close``."""
        flight = InFlight(next(self._next_numbers), engine, totals)
        self._open_sends[flight.number] = flight
        _add(self._local, engine, totals)
        return flight

    def close(self, flight: InFlight) -> None:
        """Note the end of a send; a second time changes nothing."""
        if self._open_sends.pop(flight.number, None) is not None:
            _subtract(self._local, flight.engine, flight.totals)

    def note_read(self, flight: InFlight) -> InFlight:
        """Note that a send's prompt was read; return what is left of it."""
        if not flight.totals.reading or flight.number not in self._open_sends:
            return flight
        self.close(flight)
        return self.open(
            flight.engine,
            dataclasses.replace(flight.totals, reading=0),
        )

    def hear(self, peer: str, loads: Mapping[str, Totals], now: float) -> None:
        """Take a peer's word in place of its last one."""
        self._remove_report(peer)
        report = _PeerReport(loads, now)
        self._reports[peer] = report
        self._prefilling += report.is_prefilling
        for engine, totals in loads.items():
            _add(self._peer_totals, engine, totals)

    def own(self) -> Mapping[str, Totals]:
        """Return this instance's open work, to tell the peers."""
        return self._local

    def local_totals(self, engine: str) -> Totals:
        """Return this instance's open work at an engine."""
        return self._local.get(engine, NO_LOAD)

    @property
    def speakers(self) -> int:
        """How many peers' words are counted on."""
        return len(self._reports)

    @property
    def prefilling_peers(self) -> int:
        """How many peers have prompts being read, as far as is known."""
        return int(self._prefilling * self.scale)

    def totals(self, engine: str) -> Totals:
        """Return the open work of all instances at an engine."""
        local = self._local.get(engine, NO_LOAD)
        peers = self._peer_totals.get(engine)
        total = local if peers is None else local.plus(peers)
        return total if self.scale == 1 else total.times(self.scale)

    def forget_silent(self, now: float) -> None:
        """Forget the words of peers that have not spoken for a while."""
        for peer, report in tuple(self._reports.items()):
            if now - report.received_at >= _REPORT_TTL_S:
                self._remove_report(peer)

    def _remove_report(self, peer: str) -> None:
        report = self._reports.pop(peer, None)
        if report is not None:
            self._prefilling -= report.is_prefilling
            for engine, totals in report.loads.items():
                _subtract(self._peer_totals, engine, totals)


def _add(sums: dict[str, Totals], engine: str, totals: Totals) -> None:
    sums[engine] = sums.get(engine, NO_LOAD).plus(totals)


def _subtract(sums: dict[str, Totals], engine: str, totals: Totals) -> None:
    remaining = sums.get(engine, NO_LOAD).minus(totals)
    if remaining == NO_LOAD:
        sums.pop(engine, None)
    else:
        sums[engine] = remaining
