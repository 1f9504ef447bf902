"""Writes log lines to a file descriptor without blocking.

A log reader that stops reading must not delay requests. When the buffer is
full, lines are dropped and counted; the count is written once there is room.
"""

import os
import select
from collections.abc import Callable
from typing import Final, final

#: Maximum of buffered bytes: about a second of lines at the highest rate.
_MAX_BUFFERED_BYTES: Final = 524_288
#: Buffered bytes at which ``add`` flushes.
_FLUSH_BYTES: Final = 16_384


@final
class LineSink:
    """Buffers lines and writes many of them in one non-blocking call.

    ``suppressed`` counts the lines dropped since the last notice of them.
    """

    __slots__ = ('_write', '_pending', '_bytes', '_partial', 'suppressed')

    def __init__(self, write: Callable[[bytes], int]) -> None:
        """Write through ``write``, which may raise ``BlockingIOError``."""
        self._write = write
        self._pending: list[bytes] = []
        self._bytes = 0
        self._partial = b''
        self.suppressed = 0

    def add(self, line: bytes) -> None:
        """Buffer a line, given without a line feed, or drop it."""
        if self._bytes + len(line) > _MAX_BUFFERED_BYTES:
            self.suppressed += 1
            return
        self._pending.append(line)
        self._bytes += len(line) + 1
        if self._bytes >= _FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        if self.suppressed and self._bytes < _MAX_BUFFERED_BYTES // 2:
            notice = b'{"event":"log_suppressed","lines":%d}' % self.suppressed
            self._pending.append(notice)
            self.suppressed = 0
        if self._pending:
            self._pending.append(b'')
            self._partial += b'\n'.join(self._pending)
            self._pending.clear()
        self._write_partial()

    def _write_partial(self) -> None:
        """Write in pieces that a pipe accepts whole or not at all.

        Readers that take a bounded piece of each write lose the rest of a
        longer one.
        """
        while self._partial:
            try:
                written = self._write(self._partial[: select.PIPE_BUF])
            except BlockingIOError:
                break
            except OSError:
                # The reader has closed the pipe; the lines are dropped.
                self._partial = b''
                break
            self._partial = self._partial[written:]
        self._bytes = len(self._partial)


def open_stdout() -> LineSink:
    """Return a sink on standard output and make that non-blocking."""
    os.set_blocking(1, False)
    return LineSink(_write_stdout)


def _write_stdout(payload: bytes) -> int:
    return os.write(1, payload)
