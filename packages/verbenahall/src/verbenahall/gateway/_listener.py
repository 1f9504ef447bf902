"""Accepts callers' connections, or resets them unread."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Final, final

from verbenahall import journal
from verbenahall.process import open_listener

#: Connections that are accepted at a time; open ones are served in between.
_MAX_BATCH: Final = 256
#: Accepted connections that wait for their protocol; more stay in the kernel.
_MAX_WAITING: Final = 64
#: Pause after a failure to accept for lack of descriptors or memory, in
#: seconds.
_PAUSE_S: Final = 0.2
#: Linger time of zero: closing the socket resets the connection.
_RESET: Final = struct.pack('ii', 1, 0)


@final
class GuardedListener:
    """Accepts all connections that wait, unless ``accepts`` returns False.

    The event loop by itself accepts one connection in each iteration. The
    others would wait in the kernel, unseen, until their callers have given up.
    """

    __slots__ = ('_accepts', '_factory', '_listening', '_tasks')

    def __init__(
        self,
        factory: Callable[[], asyncio.Protocol],
        accepts: Callable[[], bool],
    ) -> None:
        """Serve accepted connections by the protocols of ``factory``."""
        self._accepts = accepts
        self._factory = factory
        self._listening: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, address: str) -> None:
        """Listen on ``IP:port``."""
        self._listening = open_listener(address)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listening, self._accept_waiting)

    async def stop(self) -> None:
        """Close the listener; accepted connections go on."""
        if self._listening is not None:
            asyncio.get_running_loop().remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def _accept_waiting(self) -> None:
        """Accept until nothing waits; pause if the system has no room."""
        try:
            for _ in range(_MAX_BATCH):
                if len(self._tasks) >= _MAX_WAITING:
                    break
                self._accept()
        except BlockingIOError:
            return
        except OSError as error:
            # The socket stays readable, and the loop would try without end.
            journal.write_decision('accept_failed', reason=repr(error))
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._listening)
            loop.call_later(_PAUSE_S, self._listen_again)

    def _listen_again(self) -> None:
        if self._listening is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listening, self._accept_waiting)

    def _accept(self) -> None:
        """Accept one connection; BlockingIOError if none waits."""
        try:
            accepted, _ = self._listening.accept()
        except ConnectionAbortedError:
            # The caller has left while it waited.
            return
        if not self._accepts():
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            accepted.close()
            return
        accepted.setblocking(False)
        task = asyncio.create_task(self._serve(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._factory, accepted)
        except OSError as error:
            journal.write_decision('accept_failed', reason=repr(error))
            accepted.close()
