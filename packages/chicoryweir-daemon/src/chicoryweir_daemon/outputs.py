"""Standard descriptors of a daemon, and output to them that never blocks."""

from __future__ import annotations

import io
import os
import select
import stat
import sys
import threading
import time
import typing

from chicoryweir_policy import catalogue

STANDARD_INPUT = 0
STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
# Holds a few seconds of one entry's log lines at peak traffic.
MAX_BUFFERED_BYTES = 262_144
# Bytes of one write; a pipe doesn't accept more at once.
MAX_WRITE_BYTES = 65_536


def open_standard_descriptors() -> None:
    """Opens the null device on each standard descriptor that is closed.

    To be called before a daemon opens any descriptor: a socket would get the number of
    a closed one, and log lines would be sent to its peer.

    Raises:
        OSError: The null device can't be opened.
    """
    for descriptor in (STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR):
        try:
            os.fstat(descriptor)
        except OSError:
            opened = os.open(os.devnull, os.O_RDWR)
            if opened != descriptor:
                os.dup2(opened, descriptor)
                os.close(opened)
    # The interpreter starts with None as the stream of a closed descriptor.
    sys.stdin = sys.stdin or os.fdopen(STANDARD_INPUT, closefd=False)
    sys.stdout = sys.stdout or os.fdopen(STANDARD_OUTPUT, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(STANDARD_ERROR, "w", closefd=False)


def open_nonblocking(descriptor: int) -> int:
    """Returns a descriptor of the same file to which a write doesn't block.

    O_NONBLOCK belongs to the open file description, which standard error and other
    processes may share. Thus the file is opened anew where the system allows it, which
    it doesn't for sockets and for pipes of another user.
    """
    if stat.S_ISREG(os.fstat(descriptor).st_mode):
        return descriptor
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    try:
        return os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        os.set_blocking(descriptor, False)
        return descriptor


class BoundedSink:
    """Writes lines to a non-blocking file descriptor through a bounded buffer.

    Data that the reader doesn't accept yet is buffered, up to `MAX_BUFFERED_BYTES`.
    Further lines are dropped; their count is logged once half of the buffer is free.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        self._writing = threading.Lock()

    def write(self, text: str) -> None:
        """Buffers and writes `text`, which consists of whole lines."""
        self.write_bytes(text.encode(errors="backslashreplace"))

    def write_bytes(self, data: bytes) -> None:
        """Buffers and writes `data`, which consists of whole lines."""
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._buffer += data
        self.flush()

    def write_last(self, text: str) -> None:
        """Writes a line like `write`, but doesn't drop it if the buffer is full."""
        self._buffer += text.encode(errors="backslashreplace")
        self.flush()

    def flush(self) -> None:
        """Writes buffered data until the descriptor would block."""
        # Another thread, or what a signal handler interrupted, goes on writing.
        if not self._writing.acquire(blocking=False):
            return
        try:
            self._write_buffer()
        finally:
            self._writing.release()

    def flush_until(self, deadline_at: float) -> None:
        """Writes buffered data as the reader accepts it, until a monotonic time."""
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        self.flush()
        while self._buffer or self._dropped:
            left_s = deadline_at - time.monotonic()
            if left_s <= 0:
                return
            poller.poll(left_s * 1000)
            self.flush()

    def _write_buffer(self) -> None:
        if self._dropped and len(self._buffer) < MAX_BUFFERED_BYTES // 2:
            self._buffer += self._encode_dropped_event()
            self._dropped = 0
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error can't be logged either.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _encode_dropped_event(self) -> bytes:
        number = catalogue.LINES_DROPPED
        line = f'{{"event":"{catalogue.NAMES[number]}","event_id":{number},'
        return f'{line}"count":{self._dropped}}}\n'.encode()


class _SinkBuffer(io.RawIOBase):
    """The binary side of a text stream that writes to a sink."""

    def __init__(self, sink: BoundedSink, descriptor: int) -> None:
        self._sink = sink
        self._descriptor = descriptor

    def writable(self) -> bool:
        return True

    def fileno(self) -> int:
        return self._descriptor

    def isatty(self) -> bool:
        return os.isatty(self._descriptor)

    def write(self, data: typing.Any) -> int:
        self._sink.write_bytes(bytes(data))
        return len(data)

    def flush(self) -> None:
        self._sink.flush()


class StandardOutputs:
    """The sinks on standard output and standard error.

    Attributes:
        output: Sink on standard output.
        error: Sink on standard error; the same one if both are the same file, so that
            lines stay in order.
    """

    def __init__(self) -> None:
        open_standard_descriptors()
        self.output = BoundedSink(open_nonblocking(STANDARD_OUTPUT))
        if os.path.sameopenfile(STANDARD_OUTPUT, STANDARD_ERROR):
            self.error = self.output
        else:
            self.error = BoundedSink(open_nonblocking(STANDARD_ERROR))

    def replace_streams(self) -> None:
        """Makes `sys.stdout` and `sys.stderr` write to the sinks.

        Without this, what a library or the interpreter prints may block the process, or
        raise an error and change its exit code.
        """
        sys.stdout = _create_stream(self.output, STANDARD_OUTPUT)
        sys.stderr = _create_stream(self.error, STANDARD_ERROR)

    def flush_until(self, deadline_at: float) -> None:
        """Writes what the sinks hold, until a monotonic time."""
        for stream in (sys.stdout, sys.stderr):
            # A partial line of a stream that was not replaced may block or fail.
            if isinstance(getattr(stream, "buffer", None), _SinkBuffer):
                stream.flush()
        for sink in (self.output, self.error):
            sink.flush_until(deadline_at)


def _create_stream(sink: BoundedSink, descriptor: int) -> typing.TextIO:
    buffer = typing.cast(typing.BinaryIO, _SinkBuffer(sink, descriptor))
    return io.TextIOWrapper(
        buffer, encoding="utf-8", errors="backslashreplace", line_buffering=True
    )
