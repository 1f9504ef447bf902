"""Selects the endpoint for each attempt of a request."""

from verbenahall.routing._candidates import (
    Candidate,
    RoutingState,
    rank_by_rendezvous,
    select_subset,
)
from verbenahall.routing._decisions import choose_endpoint
from verbenahall.routing._messages import Choice, RoutingRequest

__all__ = (
    'Candidate',
    'Choice',
    'RoutingRequest',
    'RoutingState',
    'choose_endpoint',
    'rank_by_rendezvous',
    'select_subset',
)
