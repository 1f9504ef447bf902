"""The platform's store, which may come back from an older copy in a drill."""

import asyncio

from aiohttp import web
from verbenahall_standins.platform import StoreStandIn


class DrillStore(StoreStandIn):
    """A store that is away for a moment and comes back from a copy.

    All its answers carry ``Store-Era``. A read from an offset that the store
    doesn't have gets 410.
    """

    def __init__(self):
        super().__init__()
        self.era = 1

    def make_copy(self):
        """Return a copy of what the store holds now."""
        return {
            name: (topic.first, list(topic.records), dict(topic.newest))
            for name, topic in self._topics.items()
        }

    async def drill(self, away_s, copy):
        """Reset all channels, be away, and come back from a copy."""
        self.faults.reset = True
        for runner in self._runners:
            for connection in tuple(runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
        await asyncio.sleep(away_s)
        for name, topic in self._topics.items():
            first, records, newest = copy.get(name, (0, [], {}))
            topic.first = first
            topic.records = list(records)
            topic.newest = dict(newest)
        self.era += 1
        self.faults.reset = False

    def get_end(self, topic):
        """Return the end of a topic."""
        return self._get_topic(topic).end

    async def _inject_faults(self, entrance, request, handler):
        response = await super()._inject_faults(entrance, request, handler)
        response.headers['Store-Era'] = str(self.era)
        return response

    async def _read(self, request):
        topic = self._get_topic(request.query['topic'])
        if int(request.query['from']) > topic.end:
            return web.json_response({'first': topic.first}, status=410)
        return await super()._read(request)
