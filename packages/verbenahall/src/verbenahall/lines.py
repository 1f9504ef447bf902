"""Writes log lines to a descriptor without ever waiting for its reader.

A reader that stops reading must not cost a request: lines that find no room
are counted, and the count is written once there is room again.
"""

import os
from collections.abc import Callable
from typing import Final, final

#: Bytes that wait for the reader at most; about a second of lines at the
#: busiest rate seen.
_MOST_BYTES: Final = 524_288
#: Bytes that are written as soon as they are there.
_FLUSH_BYTES: Final = 16_384


@final
class LineSink:
    """Collects lines and writes them in few, never blocking, calls."""

    __slots__ = ('_write', '_waiting', '_bytes', '_partial', 'suppressed')

    def __init__(self, write: Callable[[bytes], int]) -> None:
        """Write through ``write``, which may raise ``BlockingIOError``."""
        self._write = write
        self._waiting: list[bytes] = []
        self._bytes = 0
        self._partial = b''
        self.suppressed = 0

    def add(self, line: bytes) -> None:
        """Take a line without its end."""
        if self._bytes + len(line) > _MOST_BYTES:
            self.suppressed += 1
            return
        self._waiting.append(line)
        self._bytes += len(line) + 1
        if self._bytes >= _FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if self.suppressed and self._bytes < _MOST_BYTES // 2:
            told = b'{"event":"log_suppressed","lines":%d}' % self.suppressed
            self._waiting.append(told)
            self.suppressed = 0
        if self._waiting:
            self._waiting.append(b'')
            self._partial += b'\n'.join(self._waiting)
            self._waiting.clear()
        self._drain()

    def _drain(self) -> None:
        while self._partial:
            try:
                written = self._write(self._partial)
            except BlockingIOError:
                break
            except OSError:
                # The reader is gone: nobody is left to tell.
                self._partial = b''
                break
            self._partial = self._partial[written:]
        self._bytes = len(self._partial)


def open_stdout() -> LineSink:
    """Return a sink on standard output, which is made non-blocking."""
    os.set_blocking(1, False)
    return LineSink(_write_stdout)


def _write_stdout(payload: bytes) -> int:
    return os.write(1, payload)
