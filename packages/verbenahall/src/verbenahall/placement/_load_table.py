"""Open work at engines: exact for this instance, estimated for peers."""

import dataclasses
import itertools
from collections.abc import Mapping
from typing import Final, final

from verbenahall.placement._streams import OpenStream, StreamTable

#: Seconds for which a peer's report counts. Peers report several times a
#: second; one that has stopped is down or cut off.
_REPORT_TTL_S: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Open work at one engine.

    ``prefill_tokens`` is the number of tokens still to be prefilled. An engine
    prefills all admitted prompts concurrently, so a request waits for all of
    them, whatever their priority. ``held_tokens`` is the number of tokens that
    ``streams`` being decoded hold in KV memory.
    """

    prefill_tokens: int = 0
    held_tokens: int = 0
    streams: int = 0

    def plus(self, other: 'Totals') -> 'Totals':
        """Return the sum."""
        return Totals(
            self.prefill_tokens + other.prefill_tokens,
            self.held_tokens + other.held_tokens,
            self.streams + other.streams,
        )

    def times(self, factor: float) -> 'Totals':
        """Return the totals multiplied by ``factor``, rounded down."""
        return Totals(
            int(self.prefill_tokens * factor),
            int(self.held_tokens * factor),
            int(self.streams * factor),
        )

    def minus(self, other: 'Totals') -> 'Totals':
        """Return the difference."""
        return Totals(
            self.prefill_tokens - other.prefill_tokens,
            self.held_tokens - other.held_tokens,
            self.streams - other.streams,
        )


NO_LOAD: Final = Totals()


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """An open request at an engine, and the load that it adds there."""

    number: int
    engine: str
    totals: Totals


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    """The open work that a peer reported, and when it was received."""

    loads: Mapping[str, Totals]
    received_at: float

    @property
    def is_prefilling(self) -> bool:
        """Whether the peer has prompts in prefill."""
        return any(totals.prefill_tokens for totals in self.loads.values())


@final
class LoadTable:
    """Open work by engine, of this instance and as reported by peers.

    The sum over all peers is updated with each report. With 60 instances,
    adding up the reports for each engine in each decision took more processor
    time than all other work.
    """

    __slots__ = (
        'scale',
        'streams',
        '_open_sends',
        '_local',
        '_reports',
        '_peer_totals',
        '_prefilling',
        '_next_numbers',
    )

    def __init__(self) -> None:
        """Start with no open work.

        ``scale`` is the ratio of all instances to those whose load is counted
        here. In a large fleet only a sample of the peers reports to this
        instance, and the others are assumed to send the same load.
        """
        self.scale: float = 1
        #: Streams that were opened here, not those that peers report.
        self.streams = StreamTable()
        self._open_sends: dict[int, InFlight] = {}
        self._local: dict[str, Totals] = {}
        self._reports: dict[str, _PeerReport] = {}
        self._peer_totals: dict[str, Totals] = {}
        self._prefilling = 0
        self._next_numbers = itertools.count()

    def open(
        self,
        engine: str,
        totals: Totals,
        stream: OpenStream | None = None,
    ) -> InFlight:
        """Add the work of a request; ``close`` removes it."""
        flight = InFlight(next(self._next_numbers), engine, totals)
        self._open_sends[flight.number] = flight
        _add(self._local, engine, totals)
        if stream is not None:
            self.streams.add(engine, flight.number, stream)
        return flight

    def close(self, flight: InFlight) -> None:
        """Remove the work of a request; does nothing if it is closed."""
        if self._open_sends.pop(flight.number, None) is not None:
            _subtract(self._local, flight.engine, flight.totals)
            self.streams.remove(flight.engine, flight.number)

    def record_first_event(self, flight: InFlight, now: float) -> InFlight:
        """Record a stream's first event; return the work that is still open.

        Its prefill has ended.
        """
        if flight.number not in self._open_sends:
            return flight
        stream = self.streams.remove(flight.engine, flight.number)
        if stream is not None:
            stream.started_at = now
        self.close(flight)
        return self.open(
            flight.engine,
            dataclasses.replace(flight.totals, prefill_tokens=0),
            stream,
        )

    def set_peer_loads(
        self, peer: str, loads: Mapping[str, Totals], now: float
    ) -> None:
        """Replace the report of a peer."""
        self._remove_report(peer)
        report = _PeerReport(loads, now)
        self._reports[peer] = report
        self._prefilling += report.is_prefilling
        for engine, totals in loads.items():
            _add(self._peer_totals, engine, totals)

    def local_loads(self) -> Mapping[str, Totals]:
        """Return the open work of this instance, as reported to peers."""
        return self._local

    def local_totals(self, engine: str) -> Totals:
        """Return the open work of this instance at an engine."""
        return self._local.get(engine, NO_LOAD)

    @property
    def reporting_peers(self) -> int:
        """Number of peers whose reports are counted."""
        return len(self._reports)

    @property
    def prefilling_peers(self) -> int:
        """Number of peers with prompts in prefill, estimated by ``scale``."""
        return int(self._prefilling * self.scale)

    def totals(self, engine: str) -> Totals:
        """Return the open work of all instances at an engine."""
        local = self._local.get(engine, NO_LOAD)
        peers = self._peer_totals.get(engine)
        total = local if peers is None else local.plus(peers)
        return total if self.scale == 1 else total.times(self.scale)

    def expire_peers(self, now: float) -> None:
        """Remove the reports of peers that have stopped reporting."""
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
