"""Sends, receives and relays alerts on the socket between instances."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, final

from verbenahall import journal, metrics
from verbenahall.clock import Clock
from verbenahall.endpoint_alerts._decisions import (
    EndpointView,
    Effects,
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
from verbenahall.endpoint_alerts._state import AlertTable
from verbenahall.endpoint_health import (
    Endpoints,
    record_alerted,
    record_reachable,
)
from verbenahall.peers import NoticeChannel, PeerExchange, PeerTable
from verbenahall.roster import Entry, Roster

#: Longest random wait before an alert is sent, in seconds. A crash is detected
#: by many instances within some milliseconds; most of them receive the alert of
#: another one in this time and send none.
_MAX_WAIT_S: Final = 0.02
#: Time between the two copies of an alert, in seconds. The second one must
#: arrive within 0.2 s of the detection, also through a relay.
_COPY_S: Final = 0.06
#: Time after which an endpoint is probed by the instances that are not chosen
#: to probe it at once, in seconds.
_OTHERS_PROBE_S: Final = 2.0
#: Age from which on endpoints are counted again, in seconds.
_COUNT_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What alerts need of the process.

    ``reaches_others`` is whether this instance reaches another endpoint of the
    same service, ``probe`` connects to an endpoint, and ``spawn`` runs a
    coroutine in the background.
    """

    roster: Roster
    endpoints: Endpoints
    peer_table: PeerTable
    now: Clock
    rng: random.Random
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    reaches_others: Callable[[Entry], Awaitable[bool]]
    probe: Callable[[str], Coroutine[Any, Any, None]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Counted:
    """The number of endpoints of a service at a time."""

    number: int
    at: float


@final
class AlertReplicator:
    """Sends alerts about endpoints that are not reached, and applies others."""

    __slots__ = ('_channel', '_counted', '_surroundings', '_table')

    def __init__(
        self, surroundings: Surroundings, exchange: PeerExchange
    ) -> None:
        """Install the handlers in the endpoints and the peers' exchange."""
        self._surroundings = surroundings
        self._table = AlertTable()
        self._counted: dict[str, _Counted] = {}
        self._channel = NoticeChannel(exchange, decode, self._receive)
        surroundings.endpoints.on_unreachable = self.report
        surroundings.endpoints.on_reached = self.withdraw

    def report(self, endpoint: Entry, cause: BaseException) -> None:
        """Alert the peers of an endpoint that was not reached."""
        why = classify_cause(cause)
        if why is not None:
            self._announce(endpoint, why)

    def withdraw(self, endpoint: Entry) -> None:
        """Send that a probe has reached an endpoint that was reported."""
        self._announce(endpoint, Why.REACHED)

    def _announce(self, endpoint: Entry, why: Why) -> None:
        data_centre = self._surroundings.peer_table.data_centre
        alert = Alert(
            endpoint.service, endpoint.incarnation, why, 0, data_centre
        )
        if self._is_to_be_sent(alert):
            self._surroundings.spawn(self._send_copies(endpoint, alert))

    async def _send_copies(self, endpoint: Entry, alert: Alert) -> None:
        """Send an alert, unless a peer has sent it in the meantime."""
        surroundings = self._surroundings
        detected_at = surroundings.now()
        await asyncio.sleep(surroundings.rng.uniform(0, _MAX_WAIT_S))
        is_failure = alert.why is not Why.REACHED
        if is_failure and not await surroundings.reaches_others(endpoint):
            return
        if not self._is_to_be_sent(alert):
            return
        record_sent(self._table, alert, surroundings.now())
        _log(alert, 'sent', 'own')
        self._send(alert, detected_at, 0)
        await asyncio.sleep(_COPY_S)
        if not is_refuted(self._table, alert.incarnation, detected_at):
            self._send(alert, detected_at, 1)

    def _is_to_be_sent(self, alert: Alert) -> bool:
        now = self._surroundings.now()
        is_listed = self._find_listed(alert) is not None
        return is_listed and is_news(self._table, alert, now)

    def _send(self, alert: Alert, detected_at: float, copy: int) -> None:
        """Send a copy of an alert to this data centre and to the relays.

        Each data centre probes by itself whether an endpoint is back.
        """
        peer_table = self._surroundings.peer_table
        recipients = list(list_local(peer_table))
        if alert.why is not Why.REACHED:
            recipients.extend(list_relays(peer_table, alert.incarnation, copy))
        age_s = self._surroundings.now() - detected_at
        alert = dataclasses.replace(alert, age_s=age_s)
        self._channel.send(encode(alert), recipients)

    def _receive(self, alert: Alert, sender: str) -> None:
        now = self._surroundings.now()
        effects = receive(self._table, alert, self._make_view(alert), now)
        if effects.relays:
            relayed = dataclasses.replace(alert, relayed=True)
            peer_table = self._surroundings.peer_table
            self._channel.send(encode(relayed), list_local(peer_table))
        self._apply(alert, effects, now)
        if effects.verdict is not Verdict.KNOWN:
            _log(alert, effects.verdict.value, sender)

    def _apply(self, alert: Alert, effects: Effects, now: float) -> None:
        surroundings = self._surroundings
        health = surroundings.endpoints.health
        for withdrawn, _ in effects.withdrawn:
            if health.get(withdrawn).breaker.alerted:
                record_reachable(health, withdrawn)
        if effects.verdict is not Verdict.ACCEPTED:
            return
        name, born = alert.incarnation
        probes = is_prober(surroundings.peer_table, alert.incarnation)
        probe_after_s = 0 if probes else _OTHERS_PROBE_S
        record_alerted(health, name, now, born, probe_after_s)
        if probes:
            surroundings.spawn(surroundings.probe(name))

    def _make_view(self, alert: Alert) -> EndpointView:
        surroundings = self._surroundings
        name, _ = alert.incarnation
        health = surroundings.endpoints.health
        return EndpointView(
            self._find_listed(alert) is not None,
            self._count_listed(alert.service),
            health.get(name).answered_at if health.has(name) else -float('inf'),
            surroundings.peer_table.data_centre,
        )

    def _count_listed(self, service: str) -> int:
        """Return the number of live endpoints of a service.

        It is counted once a second at most: there may be thousands, and a
        hundred alerts at once.
        """
        now = self._surroundings.now()
        counted = self._counted.get(service)
        if counted is None or now - counted.at > _COUNT_S:
            listed = self._surroundings.roster.list_live(service, now)
            counted = _Counted(len(list(listed)), now)
            self._counted[service] = counted
        return counted.number

    def _find_listed(self, alert: Alert) -> Entry | None:
        """Return the entry of an incarnation that is listed and stays."""
        roster = self._surroundings.roster
        name, _ = alert.incarnation
        entry = roster.find_entry(name)
        is_live = roster.is_live(name, self._surroundings.now())
        if entry is None or not is_live:
            return None
        matches = entry.incarnation == alert.incarnation
        return entry if matches and entry.service == alert.service else None


def _log(alert: Alert, verdict: str, source: str) -> None:
    name, born = alert.incarnation
    metrics.ENDPOINT_ALERTS.add(alert.why.value, verdict)
    journal.write_decision(
        'endpoint_alert',
        endpoint=f'{name}/{born}',
        service=alert.service,
        why=alert.why.value,
        verdict=verdict,
        source=source,
        data_centre=alert.data_centre,
        age_s=journal.round_to_ms(alert.age_s),
    )
