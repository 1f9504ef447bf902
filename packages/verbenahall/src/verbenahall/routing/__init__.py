"""Selects the endpoint for each attempt of a request."""

from verbenahall.routing._candidates import (
    Candidate,
    RoutingState,
    rank_by_rendezvous,
    take_subset,
)
from verbenahall.routing._decisions import choose
from verbenahall.routing._messages import Choice, Question

__all__ = (
    'Candidate',
    'Choice',
    'Question',
    'RoutingState',
    'choose',
    'rank_by_rendezvous',
    'take_subset',
)
