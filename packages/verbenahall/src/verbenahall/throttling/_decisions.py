"""Decides when a request may be sent to an endpoint that advertises a rate."""

import math
from collections.abc import Sequence
from typing import Final

from returns.maybe import Maybe, Nothing, Some

from verbenahall.peers import PeerTable, is_local_only, list_recipients
from verbenahall.routing import rank_by_rendezvous
from verbenahall.throttling._messages import (
    Denial,
    Permit,
    PermitRequest,
    RateNotice,
)
from verbenahall.throttling._state import AdvertisedRate, RateTable

#: Lowest rate that is stored, in requests a second: an endpoint that receives
#: no requests can't advertise a higher rate again.
_MIN_RATE: Final = 0.2
#: Highest rate that is stored, in requests a second; anything above it is
#: practically unlimited.
_MAX_RATE: Final = 1e6
#: An instance without a heartbeat for this long isn't chosen as a limiter, in
#: seconds: twice the longest interval between two heartbeats.
_LIVE_S: Final = 1.3
#: A peer whose last heartbeat is more recent than this may still send requests,
#: in seconds.
_RECENTLY_LIVE_S: Final = 30.0
#: An instance of another data centre that did not respond isn't chosen as a
#: limiter for this long, in seconds.
_TIMEOUT_PENALTY_S: Final = 1.0


def read_rate(texts: Sequence[str]) -> Maybe[float]:
    """Return the rate that a response advertises; Nothing if it is invalid.

    Of several rates the lowest applies::

        read_rate(['2.5', '4'])  # Some(2.5)
    """
    rates = [rate for rate in map(_read_number, texts) if 0 < rate]
    if not rates:
        return Nothing
    return Some(min(max(min(rates), _MIN_RATE), _MAX_RATE))


def record_rate(
    table: RateTable,
    incarnation: str,
    rate: float,
    now: float,
) -> bool:
    """Record a rate that an endpoint advertises; False if it is unchanged."""
    current = table.rates.get(incarnation)
    if current is not None and current.rate == rate:
        return False
    table.rates[incarnation] = AdvertisedRate(rate, now)
    return True


def record_no_rate(table: RateTable, incarnation: str, sent_at: float) -> bool:
    """Record a response without a rate to a request sent at ``sent_at``.

    It removes the rate, and the result is True, only if the request was sent
    after the rate was advertised. An older response may simply arrive late.
    """
    current = table.rates.get(incarnation)
    if current is None or sent_at <= current.advertised_at:
        return False
    table.rates.pop(incarnation)
    table.next_at.pop(incarnation, None)
    return True


def apply_notice(table: RateTable, notice: RateNotice, now: float) -> bool:
    """Record a rate that a peer announced; False if it is unchanged."""
    if notice.rate:
        return record_rate(table, notice.endpoint, notice.rate, now)
    return record_no_rate(table, notice.endpoint, now)


def find_rate_share(peer_table: PeerTable, now: float) -> float:
    """Return the share of an advertised rate that this instance may permit.

    Each part of a partitioned fleet has a limiter of its own, and together
    these must not exceed the rate. So each one permits a share that is the
    number of live instances divided by that of recently live ones.
    """
    live, recently_live = (
        sum(
            now - peer.last_heartbeat_at < within_s
            for peer in list_recipients(peer_table)
        )
        for within_s in (_LIVE_S, _RECENTLY_LIVE_S)
    )
    return (live + 1) / (recently_live + 1)


def grant_permit(
    table: RateTable,
    request: PermitRequest,
    share: float,
    now: float,
) -> Permit | Denial:
    """Permit a send after a wait, or deny it if the wait would be too long.

    Permits are spaced evenly and don't accumulate, so an endpoint receives no
    burst of requests after an idle time.
    """
    current = table.rates.get(request.endpoint)
    rate = request.rate if current is None else min(current.rate, request.rate)
    interval_s = 1 / (rate * share)
    # If another instance was the limiter until now, it may have given its last
    # permit just before.
    next_at = table.next_at.setdefault(request.endpoint, now + interval_s)
    wait_s = max(0, next_at - now)
    if wait_s > request.longest_s:
        return Denial(request.key, wait_s)
    table.next_at[request.endpoint] = now + wait_s + interval_s
    return Permit(request.key, wait_s)


def choose_limiter(
    table: RateTable,
    peer_table: PeerTable,
    incarnation: str,
    data_centre: str,
    now: float,
) -> Maybe[str]:
    """Return the instance that permits sends to an endpoint, if there is one.

    In a large fleet, where instances receive heartbeats of their own data
    centre only, it is an instance of the endpoint's data centre, whose
    instances all make the same choice.
    """
    names = [
        name
        for name, peer in peer_table.peers.items()
        if _is_eligible(peer_table, peer.data_centre, data_centre)
        and _is_live(table, peer_table, name, now)
    ]
    if _is_eligible(peer_table, peer_table.data_centre, data_centre):
        names.append(peer_table.name)
    return Some(rank_by_rendezvous(incarnation, names)[0]) if names else Nothing


def _is_eligible(
    peer_table: PeerTable, limiter_data_centre: str, data_centre: str
) -> bool:
    return not is_local_only(peer_table) or limiter_data_centre == data_centre


def _is_live(
    table: RateTable,
    peer_table: PeerTable,
    name: str,
    now: float,
) -> bool:
    """Whether a peer is alive, by its heartbeats or else by its responses.

    A peer with heartbeats stays the limiter after a lost response: otherwise a
    second limiter would give permits at the same time.
    """
    peer = peer_table.peers[name]
    if is_local_only(peer_table) and peer.data_centre != peer_table.data_centre:
        return (
            now - table.timed_out_at.get(name, -math.inf) > _TIMEOUT_PENALTY_S
        )
    return now - peer.last_heartbeat_at < _LIVE_S


def _read_number(text: str) -> float:
    """Return a finite decimal number, or 0 if the text is not one."""
    try:
        number = float(text)
    except ValueError:
        return 0
    return number if math.isfinite(number) else 0
