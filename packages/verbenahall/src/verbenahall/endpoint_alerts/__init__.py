"""Alerts by which all instances leave out an endpoint that one cannot reach."""

from verbenahall.endpoint_alerts._decisions import (
    Effects,
    EndpointView,
    Verdict,
    is_news,
    is_refuted,
    receive,
    record_sent,
)
from verbenahall.endpoint_alerts._messages import (
    Alert,
    Why,
    classify_cause,
    decode,
    encode,
)
from verbenahall.endpoint_alerts._recipients import (
    is_prober,
    list_local,
    list_relays,
)
from verbenahall.endpoint_alerts._shell import AlertReplicator, Surroundings
from verbenahall.endpoint_alerts._state import AlertTable

__all__ = (
    'Alert',
    'AlertReplicator',
    'AlertTable',
    'Effects',
    'EndpointView',
    'Surroundings',
    'Verdict',
    'Why',
    'classify_cause',
    'decode',
    'encode',
    'is_news',
    'is_refuted',
    'is_prober',
    'list_local',
    'list_relays',
    'receive',
    'record_sent',
)
