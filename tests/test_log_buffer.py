"""The log buffer stays bounded and counts dropped lines."""

import os
from contextlib import closing

from tests.support import with_virtual_clock
from trefoilhitch.log_buffer import (
    MAX_BUFFER_BYTES,
    MAX_BURST_LINES,
    MAX_LINES_PER_S,
    LogBuffer,
)
from trefoilhitch.log_writer import LogWriter


def test_lines_beyond_the_rate_are_dropped_and_counted() -> None:
    buffer = LogBuffer(0)
    kept = [buffer.add(b'x\n', 0) for _ in range(MAX_BURST_LINES + 10)]
    assert kept.count(True) == MAX_BURST_LINES
    assert buffer.take_dropped() == 10
    assert buffer.take_dropped() == 0
    buffer.take()
    later = [buffer.add(b'x\n', 1) for _ in range(2 * MAX_LINES_PER_S)]
    assert later.count(True) == MAX_LINES_PER_S


def test_the_buffer_is_bounded_when_nothing_is_written() -> None:
    buffer = LogBuffer(0)
    line = b'x' * 10000
    for _ in range(100):
        buffer.add(line, 0)
    assert len(buffer) <= MAX_BUFFER_BYTES
    assert buffer.dropped > 0


@with_virtual_clock
async def test_a_full_pipe_keeps_lines_whole_and_in_order() -> None:
    source, sink = os.pipe()
    writer = LogWriter(sink)
    sent = [f'{number:06d}' + 'x' * 500 + '\n' for number in range(300)]
    for line in sent:
        writer.write(line)
    received = b''
    with closing(os.fdopen(source, 'rb', buffering=0)) as reader:
        for _ in range(10):
            writer.drain()
            received += reader.read(65536)
            if len(received) >= len(''.join(sent)):
                break
    os.close(sink)
    assert received.decode() == ''.join(sent)
