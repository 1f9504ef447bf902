"""Log lines never wait for their reader."""

import os
import time

from verbenahall.lines import LineSink


def test_full_pipe_costs_no_time():
    # Whoever reads an instance's output stops reading. If a write waited for
    # it, every request of the instance would hang.
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


def test_suppressed_lines_are_told():
    # The reader comes back. Without the count nobody could tell a quiet
    # instance from one whose lines were lost.
    taken = []
    blocked = True

    def write(payload):
        if blocked:
            raise BlockingIOError
        taken.append(payload)
        return len(payload)

    sink = LineSink(write)
    for _ in range(20_000):
        sink.add(b'x' * 100)
    suppressed = sink.suppressed
    assert suppressed > 0
    blocked = False
    sink.flush()
    sink.flush()
    told = b'{"event":"log_suppressed","lines":%d}\n' % suppressed
    assert told in b''.join(taken)


def test_partial_writes_keep_lines_whole():
    taken = bytearray()

    def write(payload):
        taken.extend(payload[:7])
        return min(7, len(payload))

    sink = LineSink(write)
    lines = [b'{"n":%d}' % number for number in range(50)]
    for line in lines:
        sink.add(line)
    sink.flush()
    assert bytes(taken).split(b'\n')[:-1] == lines


def test_closed_reader_ends_nothing():
    def write(payload):
        raise BrokenPipeError

    sink = LineSink(write)
    sink.add(b'line')
    sink.flush()
    sink.add(b'line')
    sink.flush()
