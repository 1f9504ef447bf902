"""Requests topics from peers while the store refuses this instance."""

import asyncio
import dataclasses
import random
from typing import Final, final

import aiohttp
from returns.maybe import Some

from verbenahall import journal, metrics
from verbenahall.clock import Clock
from verbenahall.peers import PeerTable
from verbenahall.platform import CALL_FAILURES
from verbenahall.store_relay._decisions import (
    Reason,
    find_confirmation,
    find_reason,
    list_candidates,
)
from verbenahall.store_relay._freshness import Confirmation
from verbenahall.store_relay._messages import (
    MAX_BODY_BYTES,
    NO_OFFSET,
    RELAY_PATH,
    STATE_HEADER,
    TopicState,
    decode_state,
)
from verbenahall.store_relay._state import INTERVAL_S, RelayState
from verbenahall.store_relay._topic import LocalTopic

#: Interval of the checks whether a peer is needed, in seconds: while the store
#: refuses this instance, and otherwise. Each check iterates over all peers.
_REFUSED_CHECK_S: Final = 0.1
_CHECK_S: Final = 0.25
#: Timeout of a request, in seconds. A whole topic of a large fleet takes a few
#: milliseconds within a region.
_TIMEOUT_S: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RelayDependencies:
    """Dependencies of the clients; ``session`` must close lost connections."""

    peer_table: PeerTable
    session: aiohttp.ClientSession
    rng: random.Random
    now: Clock


@final
class RelayClient:
    """Keeps one topic up to date through peers, if the store does not."""

    __slots__ = ('_dependencies', '_state', '_topic')

    def __init__(
        self, topic: LocalTopic, dependencies: RelayDependencies
    ) -> None:
        """Request nothing before ``run``."""
        self._dependencies = dependencies
        self._state = RelayState(dependencies.rng)
        self._topic = topic

    async def run(self) -> None:
        """Send requests when they are due, until cancelled."""
        while True:
            view = self._topic.describe()
            reason = find_reason(view)
            if reason is not None and self._is_due(reason):
                await self.request(reason)
            check_s = _REFUSED_CHECK_S if view.is_refused else _CHECK_S
            await asyncio.sleep(check_s)

    async def refresh(self) -> bool:
        """Request what is new at once if the store refuses this instance.

        Return whether a peer has confirmed the topic or sent records.
        """
        if not self._topic.reachability.is_refused:
            return False
        return await self.request(Reason.OUTDATED)

    async def request(self, reason: Reason) -> bool:
        """Send one request; return whether its answer brought anything."""
        sent_at = self._dependencies.now()
        peer = self._choose_peer(sent_at)
        if peer is None:
            self._state.record_no_peer(sent_at)
            return False
        state = await self._fetch(peer)
        if state is None:
            self._state.record_failure(peer, self._dependencies.now())
            self._log_failure(peer, reason, 'no_answer')
            return False
        return self._apply(peer, reason, state, sent_at)

    def _apply(
        self, peer: str, reason: Reason, state: TopicState, sent_at: float
    ) -> bool:
        name = self._dependencies.peer_table.name
        position = self._topic.position
        confirmation = find_confirmation(state, name, sent_at)
        is_useful = self._topic.apply_state(state, confirmation)
        now = self._dependencies.now()
        if not is_useful and not self._is_current(reason, confirmation):
            self._state.record_behind(peer, now)
            self._log_failure(peer, reason, 'behind')
            return False
        # A follower's confirmations are younger than those that it passes on.
        self._state.record_use(now, '' if state.hops else peer)
        kind = _describe_use(state, position, self._topic.position)
        metrics.RELAY_REQUESTS.add(self._topic.name, kind)
        if kind != 'confirmed':
            self._log_state(peer, reason, state)
        return True

    def _is_current(
        self, reason: Reason, confirmation: Confirmation | None
    ) -> bool:
        """Whether a peer that sent nothing new still confirms the topic.

        A follower's own polls last longer than the interval of the requests.
        The copy must not get too old until the next request is answered.
        """
        if reason is not Reason.OUTDATED or confirmation is None:
            return False
        age_s = self._dependencies.now() - confirmation.at
        return age_s < self._topic.freshness.refresh_s - INTERVAL_S

    def _choose_peer(self, now: float) -> str | None:
        candidates = list_candidates(
            self._dependencies.peer_table,
            self._topic.name,
            self._state.avoided_until,
            now,
            self._dependencies.rng,
        )
        return self._state.choose(candidates, now)

    def _is_due(self, reason: Reason) -> bool:
        return self._state.is_due(
            self._dependencies.now(), urgent=reason is not Reason.OUTDATED
        )

    async def _fetch(self, peer: str) -> TopicState | None:
        """Return a peer's state of the topic, None if it gives none."""
        found = self._dependencies.peer_table.peers[peer]
        position = self._topic.position
        offset = NO_OFFSET if position is None else position
        params = {'topic': self._topic.name, 'from': str(offset)}
        try:
            async with (
                asyncio.timeout(_TIMEOUT_S),
                self._dependencies.session.get(
                    f'http://{found.address}{RELAY_PATH}',
                    params=params,
                    allow_redirects=False,
                ) as response,
            ):
                return await _read_state(response)
        except CALL_FAILURES:
            return None

    def _log_failure(self, peer: str, reason: Reason, outcome: str) -> None:
        """Count a failure; only the first in a row is logged."""
        metrics.RELAY_REQUESTS.add(self._topic.name, outcome)
        if self._state.failures == 1:
            journal.write_decision(
                'topic_not_relayed',
                topic=self._topic.name,
                peer=peer,
                reason=reason.value,
                outcome=outcome,
            )

    def _log_state(self, peer: str, reason: Reason, state: TopicState) -> None:
        journal.write_decision(
            'topic_relayed',
            topic=self._topic.name,
            peer=peer,
            reason=reason.value,
            records=len(state.records),
            whole=state.is_whole,
            end=state.end,
            origin=state.origin,
            hops=state.hops + 1,
        )


def _describe_use(
    state: TopicState, before: int | None, after: int | None
) -> str:
    """Return what an answer brought, as a label of the metric."""
    if before == after:
        return 'confirmed'
    return 'whole' if state.is_whole else 'records'


async def _read_state(response: aiohttp.ClientResponse) -> TopicState | None:
    length = response.content_length
    if not response.ok or length is None or length > MAX_BODY_BYTES:
        return None
    head = response.headers.get(STATE_HEADER, '')
    match decode_state(head, await response.read()):
        case Some(state):
            return state
        case _:
            return None
