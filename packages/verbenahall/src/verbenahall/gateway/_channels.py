"""The connections that requests come on."""

import asyncio
from typing import Final, final

from aiohttp import web

from verbenahall import journal, metrics
from verbenahall.front import has_peer_closed

#: Longest time until a cancelled request ends, in seconds.
_CANCEL_S: Final = 1.0


@final
class CallerChannel:
    """The connection of a caller, or of the peer that forwards its request.

    If the event loop is late, the close of a connection lies in its socket
    behind the request, and would be read only after the request was sent.
    """

    __slots__ = ('_request',)

    def __init__(self, request: web.Request) -> None:
        """Watch the connection of a request that is being handled."""
        self._request = request

    async def end_if_closed(self, identity: str, step: str) -> None:
        """Cancel the request if its caller has left.

        ``step`` is what would come next, for the log. ``identity`` is that of
        the request.
        """
        if not has_peer_closed(self._request.transport):
            return
        metrics.CALLERS_LEFT_EARLY.add(step)
        journal.write_decision('caller_gone', request=identity, step=step)
        self._request.task.cancel()
        # The cancellation reaches the task that waits here.
        await asyncio.sleep(_CANCEL_S)
