"""Follows the store's topics, at the store or through peers."""

from collections.abc import Awaitable, Callable
from typing import final

from aiohttp import web

from verbenahall.gateway._core import Core
from verbenahall.gateway._record_handlers import make_followers
from verbenahall.gateway._refresh import Refresher
from verbenahall.peers import PeerExchange
from verbenahall.platform import OPERATOR_TOPIC
from verbenahall.store_relay import (
    RELAY_PATH,
    RelayClient,
    RelayDependencies,
    RelayServer,
    RelayWriter,
)
from verbenahall.supervisor import Loop, Loops


@final
class Topics:
    """The followers by topic, and what relays topics between peers."""

    __slots__ = ('_core', '_relays', 'followers', 'writer')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Share what is read with the peers of an exchange."""
        self._core = core
        followers = make_followers(core, exchange)
        self.followers = {one.handler.topic: one for one in followers}
        relay = RelayDependencies(
            core.peer_table, core.session, core.random, core.now
        )
        #: Appends records through peers.
        self.writer = RelayWriter(relay)
        self._relays = {
            topic: RelayClient(one.local, relay)
            for topic, one in self.followers.items()
        }

    async def refresh_manifest(self) -> bool:
        """Get the newest manifest from the store, or else from a peer."""
        if await self.followers[OPERATOR_TOPIC].refresh():
            return True
        return await self._relays[OPERATOR_TOPIC].refresh()

    def list_loops(self) -> Loops:
        """Return the background loops by name."""
        loops: dict[str, Loop] = {}
        for topic, follower in self.followers.items():
            loops[topic] = follower.run
            loops[f'refresh {topic}'] = Refresher(self._core, follower).run
            loops[f'relay {topic}'] = self._relays[topic].run
        return loops

    def add_routes(
        self,
        app: web.Application,
        forward: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> None:
        """Serve topics to peers; ``forward`` gets requests with a hop."""
        server = self.make_server(forward)
        app.router.add_get(RELAY_PATH, server.handle)
        app.router.add_post(RELAY_PATH, server.handle_append)

    def make_server(
        self, forward: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> RelayServer:
        """Return what serves the topics to peers."""
        return RelayServer(
            {name: one.local for name, one in self.followers.items()},
            self._core.peer_table,
            self._core.store,
            self._core.now,
            forward,
        )
