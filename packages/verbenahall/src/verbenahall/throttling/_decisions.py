"""Decides when a request may leave to an endpoint that names a rate."""

import math
from collections.abc import Sequence
from typing import Final

from returns.maybe import Maybe, Nothing, Some

from verbenahall.peers import PeerBook, is_sampled, tell_whom
from verbenahall.routing import rank_by_rendezvous
from verbenahall.throttling._messages import (
    Denial,
    Permit,
    PermitRequest,
    RateNotice,
)
from verbenahall.throttling._state import NamedRate, RateTable

#: Lowest rate that is kept, in requests a second: an endpoint to which nothing
#: is sent cannot say that it takes more again.
_LEAST_RATE: Final = 0.2
#: Highest rate that is kept; above it there is none to speak of.
_MOST_RATE: Final = 1e6
#: An instance that was not heard for this long gives no permits, in seconds:
#: twice the longest pause between two heartbeats.
_HEARD_S: Final = 1.3
#: A peer that was heard within this time may still send, in seconds.
_LATELY_S: Final = 30.0
#: An instance that did not answer is passed over for this long, in seconds.
_SILENT_S: Final = 1.0


def read_rate(texts: Sequence[str]) -> Maybe[float]:
    """Read what an answer names; Nothing if it makes no sense.

    Of several the lowest holds::

        read_rate(['2.5', '4'])  # Some(2.5)
    """
    rates = [rate for rate in map(_read_number, texts) if 0 < rate]
    if not rates:
        return Nothing
    return Some(min(max(min(rates), _LEAST_RATE), _MOST_RATE))


def note_rate(
    table: RateTable,
    start: str,
    rate: float,
    now: float,
) -> bool:
    """Note a rate that an endpoint names; False when it was known."""
    known = table.rates.get(start)
    if known is not None and known.rate == rate:
        return False
    table.rates[start] = NamedRate(rate, now)
    return True


def note_no_rate(table: RateTable, start: str, sent_at: float) -> bool:
    """Note an answer without a rate to a request sent at a time.

    One that was sent before the rate was named says nothing of its end.
    """
    known = table.rates.get(start)
    if known is None or sent_at <= known.named_at:
        return False
    table.rates.pop(start)
    table.next_at.pop(start, None)
    return True


def take_notice(table: RateTable, notice: RateNotice, now: float) -> bool:
    """Take a peer's word on a rate; False when it was known."""
    if notice.rate:
        return note_rate(table, notice.endpoint, notice.rate, now)
    return note_no_rate(table, notice.endpoint, now)


def find_share(book: PeerBook, now: float) -> float:
    """Return the share of a named rate that this instance may permit.

    Parts of a fleet that are cut off from each other each have an instance
    that gives permits, and together these must keep the rate.
    """
    heard, lately = (
        sum(now - peer.heard_at < within_s for peer in tell_whom(book))
        for within_s in (_HEARD_S, _LATELY_S)
    )
    return (heard + 1) / (lately + 1)


def permit(
    table: RateTable,
    request: PermitRequest,
    share: float,
    now: float,
) -> Permit | Denial:
    """Permit a send now or soon, or say how long the next one would wait.

    Permits are spaced evenly and none is saved up: what the endpoint has not
    got while nobody asked it does not get at once later.
    """
    known = table.rates.get(request.endpoint)
    rate = request.rate if known is None else min(known.rate, request.rate)
    interval_s = 1 / (rate * share)
    # Another instance may have given the last permit just before.
    next_at = table.next_at.setdefault(request.endpoint, now + interval_s)
    wait_s = max(0, next_at - now)
    if wait_s > request.longest_s:
        return Denial(request.key, wait_s)
    table.next_at[request.endpoint] = now + wait_s + interval_s
    return Permit(request.key, wait_s)


def choose_limiter(
    table: RateTable,
    book: PeerBook,
    start: str,
    data_centre: str,
    now: float,
) -> Maybe[str]:
    """Return the instance that permits sends to an endpoint, if any does.

    It is one of the endpoint's data centre where instances hear their own
    data centre only, so that those in it agree.
    """
    names = [
        name
        for name, peer in book.peers.items()
        if _may_permit(book, peer.data_centre, data_centre)
        and _is_there(table, book, name, now)
    ]
    if _may_permit(book, book.data_centre, data_centre):
        names.append(book.name)
    return Some(rank_by_rendezvous(start, names)[0]) if names else Nothing


def _may_permit(book: PeerBook, home: str, data_centre: str) -> bool:
    return not is_sampled(book) or home == data_centre


def _is_there(
    table: RateTable,
    book: PeerBook,
    name: str,
    now: float,
) -> bool:
    """Whether a peer lives, by its heartbeats or else by its answers.

    One that is heard is not passed over for a lost answer: the next one would
    give permits beside it.
    """
    peer = book.peers[name]
    if is_sampled(book) and peer.data_centre != book.data_centre:
        return now - table.silent.get(name, -math.inf) > _SILENT_S
    return now - peer.heard_at < _HEARD_S


def _read_number(text: str) -> float:
    """Return a decimal number, 0 for what is none."""
    try:
        number = float(text)
    except ValueError:
        return 0
    return number if math.isfinite(number) else 0
