"""Tests of the log sink with readers that stall or close the pipe."""

import os

from chicoryweir_daemon import logs


def _read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 65_536)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


def test_stalled_reader_loses_lines_but_never_blocks_the_writer():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = logs.BoundedSink(writer)
    line = "x" * 999 + "\n"
    for _ in range(2000):
        sink.write(line)
    _read_all(reader)
    sink.flush()
    received = _read_all(reader)
    sink.write("last\n")
    for _ in range(20):
        sink.flush()
        received += _read_all(reader)
    assert b'"lines_dropped"' in received
    assert b"\nlast\n" in received
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.close(reader)
    sink = logs.BoundedSink(writer)
    sink.write("line\n")
    sink.write("line\n")
    os.close(writer)
