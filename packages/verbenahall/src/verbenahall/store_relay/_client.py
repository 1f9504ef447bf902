"""Requests topics from peers while the store refuses this instance."""

import asyncio
import collections
from collections.abc import Sequence
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.store_relay._decisions import (
    Reason,
    find_confirmation,
    find_reason,
    list_candidates,
)
from verbenahall.store_relay._fetches import (
    Fetched,
    PeerFetcher,
    RelayDependencies,
)
from verbenahall.store_relay._freshness import Confirmation
from verbenahall.store_relay._messages import TopicState
from verbenahall.store_relay._state import INTERVAL_S, RelayState
from verbenahall.store_relay._topic import LocalTopic
from verbenahall.store_relay._waits import wait_for_event

#: Interval of the checks whether a peer is needed, in seconds: while the store
#: refuses this instance, and otherwise. Each check iterates over all peers.
_REFUSED_CHECK_S: Final = 0.1
_CHECK_S: Final = 0.25
#: Shortest wait between two checks while records are missing, in seconds.
_MIN_WAIT_S: Final = 0.02
#: Peers that are asked at once at most, and the time after which the next one
#: is asked unless an answer is being received, in seconds.
_MAX_ASKED: Final = 6
_NEXT_S: Final = 0.2


@final
class RelayClient:
    """Keeps one topic up to date through peers, if the store does not."""

    __slots__ = ('_dependencies', '_fetcher', '_state', '_topic')

    def __init__(
        self, topic: LocalTopic, dependencies: RelayDependencies
    ) -> None:
        """Request nothing before ``run``."""
        self._dependencies = dependencies
        self._fetcher = PeerFetcher(topic, dependencies)
        self._state = RelayState(dependencies.rng)
        self._topic = topic

    async def run(self) -> None:
        """Send requests when they are due, until cancelled."""
        while True:
            self._topic.missing.clear()
            view = self._topic.describe()
            reason = find_reason(view)
            if reason is not None and not self._find_wait(reason):
                await self.request(reason)
            check_s = _REFUSED_CHECK_S if view.is_refused else _CHECK_S
            if reason is Reason.MISSING:
                check_s = max(_MIN_WAIT_S, self._find_wait(reason))
            await wait_for_event(self._topic.missing, check_s)

    async def refresh(self) -> bool:
        """Request what is new at once if the store refuses this instance.

        Return whether a peer has confirmed the topic or sent records.
        """
        if not self._topic.reachability.is_refused:
            return False
        return await self.request(Reason.OUTDATED)

    async def request(self, reason: Reason) -> bool:
        """Ask a peer; return whether its answer brought anything.

        If it does not answer at once, the next one is asked besides: what is
        missing may have become known meanwhile.
        """
        now = self._dependencies.now()
        peers = self._order_peers(now)
        if not peers:
            self._state.record_no_peer(now)
            return False
        return await self._ask(peers[:_MAX_ASKED], reason)

    async def _ask(self, peers: Sequence[str], reason: Reason) -> bool:
        """Ask one peer after the other, until an answer brings anything."""
        unasked = collections.deque(peers)
        fetches: dict[asyncio.Task[Fetched], str] = {}
        try:
            while unasked or fetches:
                if await self._continue(unasked, fetches, reason):
                    return True
        finally:
            for fetch in fetches:
                fetch.cancel()
            await asyncio.gather(*fetches, return_exceptions=True)
        return False

    async def _continue(
        self,
        unasked: collections.deque[str],
        fetches: dict[asyncio.Task[Fetched], str],
        reason: Reason,
    ) -> bool:
        """Ask the next peer unless an answer is being received, and wait."""
        if unasked and not (fetches and self._topic.receiving):
            peer = unasked.popleft()
            fetches[asyncio.create_task(self._fetcher.fetch(peer))] = peer
        ended, _ = await asyncio.wait(
            fetches,
            timeout=_NEXT_S if unasked else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return any(
            self._apply_fetched(fetches.pop(fetch), reason, fetch.result())
            for fetch in ended
        )

    def _apply_fetched(
        self, peer: str, reason: Reason, fetched: Fetched
    ) -> bool:
        now = self._dependencies.now()
        if fetched.is_busy:
            self._state.record_busy(peer, now)
            metrics.RELAY_REQUESTS.add(self._topic.name, 'busy')
            return False
        if fetched.state is None:
            self._state.record_failure(peer, now)
            self._log_failure(peer, reason, 'no_answer')
            return False
        return self._apply(peer, reason, fetched.state, fetched.sent_at)

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
            _log_state(self._topic.name, peer, reason, state)
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

    def _order_peers(self, now: float) -> Sequence[str]:
        candidates = list_candidates(
            self._dependencies.peer_table,
            self._topic.name,
            self._state.avoided_until,
            now,
            self._dependencies.rng,
            self._topic.standby.list_holders(self._topic.position or 0),
        )
        return self._state.order(candidates, now)

    def _find_wait(self, reason: Reason) -> float:
        return self._state.find_wait(
            self._dependencies.now(), urgent=reason is not Reason.OUTDATED
        )

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


def _log_state(
    topic: str, peer: str, reason: Reason, state: TopicState
) -> None:
    journal.write_decision(
        'topic_relayed',
        topic=topic,
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
