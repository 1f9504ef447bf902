"""A store that notes which machine has read that a worker has left."""

import asyncio

from verbenahall_standins.platform import StoreStandIn

TOPIC = 'keyed.servers'


class WatchedStore(StoreStandIn):
    """A store with an address for each machine.

    ``watched`` is the offset of the removal of a worker's entry, and
    ``read_at`` the time of the first read that was answered with it, by the
    address of the machine. While the store is silent, calls that it had begun
    to answer get no answer either.
    """

    def __init__(self):
        super().__init__()
        self.read_at = {}
        self.watched = None

    async def _inject_faults(self, entrance, request, handler):
        response = await super()._inject_faults(entrance, request, handler)
        if entrance.faults.silent:
            await asyncio.sleep(3600)
        if request.path == '/-/log-read' and request.query['topic'] == TOPIC:
            self._note_read(entrance.address, request, response)
        return response

    def _note_read(self, address, request, response):
        if self.watched is None or response.status != 200:
            return
        end = self._get_topic(TOPIC).end
        if int(request.query['from']) <= self.watched < end:
            now = asyncio.get_running_loop().time()
            self.read_at.setdefault(address, now)
