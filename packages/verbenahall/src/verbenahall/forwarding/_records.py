"""Log lines and metrics of forwarded requests."""

from aiohttp import web
from returns.result import Failure, Result

from verbenahall import journal, metrics
from verbenahall.forwarding._messages import HopRefusal
from verbenahall.requests import Outcome, get_outcome_label


def record_forwarded(
    request: str, peer: str, service: str, left_s: float
) -> None:
    """Record that a request is sent to a peer, with the time that is left."""
    journal.write_decision(
        'forwarded',
        request=request,
        peer=peer,
        service=service,
        left_s=journal.round_to_ms(left_s),
    )


def record_forward_ended(
    request: str,
    peer: str,
    result: Result[web.StreamResponse, Outcome],
    took_s: float,
) -> None:
    """Record how a hop ended: the status, or the label of the failure."""
    match result:
        case Failure(failure):
            outcome = get_outcome_label(failure)
        case _:
            outcome = str(result.unwrap().status)
    metrics.FORWARDED.add(outcome)
    metrics.HOP_SECONDS.observe(took_s)
    journal.write_decision(
        'forward_ended',
        request=request,
        peer=peer,
        outcome=outcome,
        took_s=journal.round_to_ms(took_s),
    )


def record_hop_refused(
    request: str, peer: str | None, refusal: HopRefusal
) -> None:
    """Record that a forwarded request is refused; ``peer`` is its address."""
    metrics.HOPS_REFUSED.add(refusal.value)
    journal.write_decision(
        'hop_refused', request=request, peer=peer, reason=refusal.value
    )
