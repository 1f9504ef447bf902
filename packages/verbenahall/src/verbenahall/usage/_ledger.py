"""Ledger of decided windows, kept in the store for all holders."""

import dataclasses
from collections.abc import Mapping

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.usage._messages import list_rows, read_counts
from verbenahall.usage._meter import Counts


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLedger:
    """The last decided window, and the reports that are still to be sent.

    A window up to ``last`` is never decided again. If it is not in ``open``,
    it was reported, or its report became overdue.
    """

    last: int
    open: Mapping[int, Counts] = dataclasses.field(default_factory=dict)


def decide(
    ledger: ReportLedger,
    window: int,
    counts: Counts,
    still_open: Mapping[int, Counts],
) -> ReportLedger:
    """Return a ledger with one more decided window.

    ``still_open`` holds the earlier reports that are still to be sent. Raises
    ``ValueError`` if the window was decided before.
    """
    if window <= ledger.last:
        raise ValueError(f'window {window} was decided before')
    return ReportLedger(window, {**still_open, window: counts})


def encode_ledger(ledger: ReportLedger) -> bytes:
    """Encode the ledger."""
    return wire.encode({'last': ledger.last, 'open': list_rows(ledger.open)})


def decode_ledger(content: bytes) -> Maybe[ReportLedger]:
    """Decode a ledger; return Nothing if it is malformed."""
    match wire.decode_table(content):
        case Success({'last': int(last), 'open': rows}):
            found = read_counts(rows)
        case _:
            return Nothing
    return Nothing if found is None else Some(ReportLedger(last, found))
