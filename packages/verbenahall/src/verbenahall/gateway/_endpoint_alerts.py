"""Connects endpoint alerts with the state of the process."""

import functools
from typing import Final

from verbenahall.endpoint_alerts import AlertReplicator, Surroundings
from verbenahall.gateway._core import Core
from verbenahall.gateway._probes import EndpointProber
from verbenahall.gateway._reach import reaches_any
from verbenahall.peers import PeerExchange
from verbenahall.roster import Entry

#: An answer of another endpoint that is younger than this shows that the
#: service is reached, in seconds: less than any timeout of a connection.
_RECENT_ANSWER_S: Final = 0.1


def make_prober(core: Core, exchange: PeerExchange) -> EndpointProber:
    """Return the prober, which sends and receives alerts by the exchange."""
    prober = EndpointProber(core)
    surroundings = Surroundings(
        core.roster,
        core.endpoints,
        core.peer_table,
        core.now,
        core.random,
        core.spawn,
        functools.partial(_reaches_others, core),
        prober.probe,
    )
    AlertReplicator(surroundings, exchange)
    return prober


async def _reaches_others(core: Core, endpoint: Entry) -> bool:
    """Whether another endpoint of the same service is reached.

    Where all of a service fail, the path to it is lost.
    """
    now = core.now()
    health = core.endpoint_health
    others = [
        one
        for one in core.roster.list_live(endpoint.service, now)
        if one.name != endpoint.name and health.is_reachable(one.name, now)
    ]
    if any(
        now - health.get(one.name).answered_at < _RECENT_ANSWER_S
        for one in others
    ):
        return True
    return bool(others) and await reaches_any(core, others)
