"""Writing log lines never blocks."""

import os
import select
import time

from verbenahall.lines import LineSink


def test_full_pipe_does_not_block():
    # The reader of an instance's output stops reading. If a write blocked,
    # every request of the instance would hang.
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = LineSink(lambda payload: os.write(writer, payload))
    started = time.monotonic()
    for number in range(50_000):
        sink.add(b'{"event":"answered","request":"%d"}' % number)
    sink.flush()
    assert time.monotonic() - started < 2
    assert sink.suppressed > 0
    os.close(reader)
    os.close(writer)


def test_suppressed_lines_are_counted_in_the_log():
    # The reader resumes. Without the count, lost lines would look like an
    # instance without traffic.
    written = []
    blocked = True

    def write(payload):
        if blocked:
            raise BlockingIOError
        written.append(payload)
        return len(payload)

    sink = LineSink(write)
    for _ in range(20_000):
        sink.add(b'x' * 100)
    suppressed = sink.suppressed
    assert suppressed > 0
    blocked = False
    sink.flush()
    sink.flush()
    notice = b'{"event":"log_suppressed","lines":%d}\n' % suppressed
    assert notice in b''.join(written)


def test_partial_writes_keep_lines_whole():
    written = bytearray()

    def write(payload):
        written.extend(payload[:7])
        return min(7, len(payload))

    sink = LineSink(write)
    lines = [b'{"n":%d}' % number for number in range(50)]
    for line in lines:
        sink.add(line)
    sink.flush()
    assert bytes(written).split(b'\n')[:-1] == lines


def test_closed_pipe_raises_no_error():
    def write(payload):
        raise BrokenPipeError

    sink = LineSink(write)
    sink.add(b'line')
    sink.flush()
    sink.add(b'line')
    sink.flush()


def test_no_write_is_longer_than_a_pipe_takes_at_once():
    # A reader that takes a bounded piece of each write loses the last lines of
    # requests.
    written = []

    def write(payload):
        written.append(payload)
        return len(payload)

    sink = LineSink(write)
    lines = [b'{"n":%d}' % number for number in range(5_000)]
    for line in lines:
        sink.add(line)
    sink.flush()
    assert max(map(len, written)) <= select.PIPE_BUF
    assert b''.join(written).splitlines() == lines
