"""Follows the store's topics, at the store or through peers."""

from collections.abc import Awaitable, Callable
from typing import final

from aiohttp import web

from verbenahall.gateway._core import Core
from verbenahall.gateway._record_handlers import make_followers
from verbenahall.gateway._refresh import Refresher
from verbenahall.peers import PeerExchange
from verbenahall.store_relay import (
    RELAY_PATH,
    RelayClient,
    RelayDependencies,
    RelayServer,
)
from verbenahall.supervisor import Loop, Loops


@final
class Topics:
    """The followers by topic, and what relays topics between peers."""

    __slots__ = ('_core', 'followers')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Share what is read with the peers of an exchange."""
        self._core = core
        followers = make_followers(core, exchange)
        self.followers = {one.handler.topic: one for one in followers}

    def list_loops(self) -> Loops:
        """Return the background loops by name."""
        core = self._core
        relay = RelayDependencies(
            core.peer_table, core.session, core.random, core.now
        )
        loops: dict[str, Loop] = {}
        for topic, follower in self.followers.items():
            loops[topic] = follower.run
            loops[f'refresh {topic}'] = Refresher(core, follower).run
            loops[f'relay {topic}'] = RelayClient(follower.local, relay).run
        return loops

    def add_routes(
        self,
        app: web.Application,
        forward: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> None:
        """Serve topics to peers; ``forward`` gets requests with a hop."""
        topics = {name: one.local for name, one in self.followers.items()}
        server = RelayServer(
            topics, self._core.peer_table, self._core.now, forward
        )
        app.router.add_get(RELAY_PATH, server.handle)
