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
    it was reported, or its report became overdue. ``era`` is the era of the
    store in which it was written, None if that is not known.
    """

    last: int
    open: Mapping[int, Counts] = dataclasses.field(default_factory=dict)
    era: int | None = None


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
    return ReportLedger(window, {**still_open, window: counts}, ledger.era)


def recover_ledger(
    stored: ReportLedger, known: ReportLedger | None, era: int, last_due: int
) -> ReportLedger:
    """Return the ledger to go on with, after one was read in an era.

    If the store has returned from an older copy since ``stored`` was written,
    later decisions may be lost, and their reports may have been sent. The
    holder goes on with its own ledger, ``known``. A new holder does not know
    them, and a second report with other counts would bill a window twice: it
    decides no window up to ``last_due``, the last that could be decided before.
    """
    if stored.era is None or stored.era >= era:
        return dataclasses.replace(stored, era=era)
    if known is not None and known.last >= stored.last:
        return ReportLedger(known.last, {**stored.open, **known.open}, era)
    return ReportLedger(max(stored.last, last_due), stored.open, era)


def encode_ledger(ledger: ReportLedger) -> bytes:
    """Encode the ledger."""
    return wire.encode(
        {
            'last': ledger.last,
            'open': list_rows(ledger.open),
            'era': ledger.era,
        },
    )


def decode_ledger(content: bytes) -> Maybe[ReportLedger]:
    """Decode a ledger; return Nothing if it is malformed."""
    match wire.decode_table(content):
        case Success({'last': int(last), 'open': rows, **others}):
            found = read_counts(rows)
        case _:
            return Nothing
    # Instances of earlier versions state no era.
    era = others.get('era')
    if found is None or not isinstance(era, int | None):
        return Nothing
    return Some(ReportLedger(last, found, era))
