"""Readers of the log that stall or leave."""

import os

from chicoryweir_daemon import logs


def _read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            part = os.read(descriptor, 65_536)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def test_reader_that_stalls_costs_lines_but_no_time():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = logs.BoundedSink(writer)
    line = "x" * 999 + "\n"
    for _ in range(2000):
        sink.write(line)
    _read_all(reader)
    sink.flush()
    rest = _read_all(reader)
    sink.write("last\n")
    for _ in range(20):
        sink.flush()
        rest += _read_all(reader)
    assert b'"lines_dropped"' in rest
    assert b"\nlast\n" in rest
    os.close(reader)
    os.close(writer)


def test_reader_that_is_gone_is_no_error():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.close(reader)
    sink = logs.BoundedSink(writer)
    sink.write("line\n")
    sink.write("line\n")
    os.close(writer)
