"""Simulates how fast a manifest reaches the last instance of a fleet."""

from verbenahall_standins.spread._fleet import Fleet, FleetPlan, run_fleet
from verbenahall_standins.spread._network import Refusal

__all__ = ('Fleet', 'FleetPlan', 'Refusal', 'run_fleet')
