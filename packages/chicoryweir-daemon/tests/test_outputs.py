"""Tests of the output to readers that stall, close the pipe or aren't there."""

from __future__ import annotations

import contextlib
import itertools
import os
import pty
import socket
import subprocess
import sys
import textwrap
import threading
import time

import pytest

from chicoryweir_daemon import outputs

TIMEOUT_S = 30.0


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


def _start(program, redirections="", **arguments):
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    # Unbuffered streams of the interpreter drop what isn't accepted without an error.
    environment.pop("PYTHONUNBUFFERED", None)
    command = f'exec "$0" -c "$1" {redirections}'
    return subprocess.Popen(
        ["/bin/sh", "-c", command, sys.executable, textwrap.dedent(program)],
        env=environment,
        **arguments,
    )


def _fill(descriptor):
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, b"x" * 4096)
    os.set_blocking(descriptor, True)


def test_stalled_reader_loses_lines_but_never_blocks_the_writer():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = outputs.BoundedSink(writer)
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
    sink = outputs.BoundedSink(writer)
    sink.write("line\n")
    sink.write("line\n")
    os.close(writer)


# Guards against the loss of the last lines, which tell why a process ended.
def test_last_lines_reach_a_slow_reader():
    reader, writer = os.pipe()
    sink = outputs.BoundedSink(outputs.open_nonblocking(writer))
    line = "x" * 999 + "\n"
    for _ in range(300):
        sink.write(line)
    sink.write_last("last\n")
    received = bytearray()

    def read_slowly():
        while not received.endswith(b"last\n"):
            received.extend(os.read(reader, 4096))

    thread = threading.Thread(target=read_slowly, daemon=True)
    thread.start()
    sink.flush_until(time.monotonic() + TIMEOUT_S)
    thread.join(TIMEOUT_S)
    assert received.endswith(b"x\nlast\n")


def test_last_line_is_kept_if_the_buffer_is_full():
    reader, writer = os.pipe()
    sink = outputs.BoundedSink(outputs.open_nonblocking(writer))
    for _ in range(2000):
        sink.write("x" * 999 + "\n")
    sink.write_last("last\n")
    received = b""
    for _ in range(20):
        received += _read_all(reader)
        sink.flush()
    assert b"\nlast\n" in received


def test_last_flush_ends_if_nothing_is_read():
    _, writer = os.pipe()
    sink = outputs.BoundedSink(outputs.open_nonblocking(writer))
    for _ in range(100):
        sink.write("x" * 999 + "\n")
    sink.flush_until(time.monotonic() + 0.05)


def test_text_that_has_no_encoding_is_escaped():
    reader, writer = os.pipe()
    outputs.BoundedSink(outputs.open_nonblocking(writer)).write("\udc80\n")
    assert os.read(reader, 100) == b"\\udc80\n"


# Guards against errors of other programs that write to the same pipe or terminal.
def test_nonblocking_output_leaves_the_shared_description_blocking():
    reader, writer = os.pipe()
    opened = outputs.open_nonblocking(writer)
    assert os.get_blocking(writer)
    assert not os.get_blocking(opened)
    os.close(opened)
    os.close(reader)
    os.close(writer)


def test_a_socket_as_output_does_not_block():
    reader, writer = socket.socketpair()
    sink = outputs.BoundedSink(outputs.open_nonblocking(writer.fileno()))
    for _ in range(2000):
        sink.write("x" * 999 + "\n")
    assert reader.recv(4) == b"xxxx"
    reader.close()
    writer.close()


def test_a_file_keeps_what_others_append_to_it(tmp_path):
    path = tmp_path / "log"
    with path.open("wb", buffering=0) as file:
        sink = outputs.BoundedSink(outputs.open_nonblocking(file.fileno()))
        sink.write("first\n")
        file.write(b"second\n")
        sink.write("third\n")
    assert path.read_text() == "first\nsecond\nthird\n"


CLOSED = [
    chosen for count in range(1, 4) for chosen in itertools.combinations("012", count)
]


# Guards against log lines in a socket that got the number of a closed descriptor.
@pytest.mark.parametrize("closed", CLOSED, ids="".join)
def test_closed_descriptors_are_not_used_for_sockets(closed, tmp_path):
    program = """
        import pathlib, socket, sys
        from chicoryweir_daemon import outputs
        outputs.open_standard_descriptors()
        with socket.socket() as opened:
            number = opened.fileno()
        print("out", flush=True)
        print("error", file=sys.stderr, flush=True)
        pathlib.Path("number").write_text(f"{number}")
    """
    redirections = " ".join(f"{number}>&-" for number in closed)
    process = _start(program, redirections, cwd=tmp_path)
    assert process.wait(TIMEOUT_S) == 0
    assert int((tmp_path / "number").read_text()) > 2


PRINTING = """
    import sys
    from chicoryweir_daemon import outputs
    outputs.StandardOutputs().replace_streams()
    for _ in range(300):
        print("x" * 999)
        print("y" * 999, file=sys.stderr)
    print("partial", end="", file=sys.stderr)
"""


# Guards against processes that hang or end with code 120 because of their output.
@pytest.mark.parametrize("number", [1, 2])
@pytest.mark.parametrize("kind", ["full", "unread", "closed", "terminal", "socket"])
def test_output_that_is_not_accepted_does_not_change_the_exit_code(kind, number):
    match kind:
        case "full":
            reader, writer = os.open("/dev/null", os.O_RDONLY), os.open("/dev/full", 1)
        case "terminal":
            reader, writer = pty.openpty()
        case "socket":
            ends = socket.socketpair()
            reader, writer = (end.detach() for end in ends)
        case _:
            reader, writer = os.pipe()
    if kind == "unread":
        _fill(writer)
    elif kind == "closed":
        os.close(reader)
    streams = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
    streams[{1: "stdout", 2: "stderr"}[number]] = writer
    process = _start(PRINTING, **streams)
    try:
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()


# Guards against errors in writes to standard error if it's the pipe of standard output.
def test_both_outputs_on_one_stalled_pipe_raise_nothing():
    reader, writer = os.pipe()
    process = _start(PRINTING, stdout=writer, stderr=writer)
    try:
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
    os.close(writer)
    lines = _read_all(reader).splitlines()
    assert lines[:2] == [b"x" * 999, b"y" * 999]
