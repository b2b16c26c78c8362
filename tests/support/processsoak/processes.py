"""Starts roles as processes, disturbs them and records what was done to them."""

import asyncio
import contextlib
import dataclasses
import enum
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import time

START = pathlib.Path(__file__).resolve().parents[3] / "platform" / "start.py"
POLL_S = 0.01
FINE_POLL_S = 0.0005
END_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)
# Bits of the signals that start.py installs handlers for.
HANDLED_BITS = 1 << (signal.SIGHUP - 1) | 1 << (signal.SIGTERM - 1)
# Part of the file names of Python's extension modules. A bare interpreter has loaded
# none; start.py imports several at once.
EXTENSION_SUFFIX = ".cpython-"
FILL = b" " * 4096


class Output(enum.Enum):
    """Where the standard output of a process goes."""

    FILE = "file"
    UNREAD_PIPE = "pipe that nobody reads"
    FULL_PIPE = "full pipe"
    CLOSING_PIPE = "pipe whose reader closes"
    CLOSED = "closed"
    ALL_CLOSED = "0, 1 and 2 closed"


@dataclasses.dataclass(frozen=True)
class SentSignal:
    """A signal that was sent to a living process.

    Attributes:
        at: Monotonic time, in seconds.
        number: The signal.
        is_early: Whether the interpreter had not run the first line of start.py.
    """

    at: float
    number: int
    is_early: bool


class Process:
    """A process of a role, and the record of its signals and its end."""

    def __init__(
        self, role, host, settings_path, log_path, output, max_descriptors=None
    ):
        self.host = host
        self.output = output
        self.max_descriptors = max_descriptors
        self.log_path = log_path
        self.sent = []
        self.freezes = []
        self.ended_at = None
        self.is_overdue = False
        self._reader = None
        self._log = None
        stdout = self._open_output()
        self._popen = subprocess.Popen(
            [sys.executable, str(START), role],
            env={"PATH": os.environ["PATH"], "CHICORYWEIR_CONFIG": str(settings_path)},
            stdin=subprocess.DEVNULL,
            stdout=stdout,
            stderr=self._log,
            preexec_fn=self._prepare,
        )
        self.started_at = time.monotonic()
        if stdout is not self._log:
            os.close(stdout)

    def _open_output(self):
        self._log = self.log_path.open("wb")
        if "PIPE" not in self.output.name:
            return self._log
        self._reader, writer = os.pipe()
        if self.output is Output.FULL_PIPE:
            os.set_blocking(writer, False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    os.write(writer, FILL)
            os.set_blocking(writer, True)
        return writer

    def _prepare(self):
        # A run started under nohup would pass on that SIGHUP is ignored.
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        if self.max_descriptors:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        closed = {Output.CLOSED: (1,), Output.ALL_CLOSED: (0, 1, 2)}
        for descriptor in closed.get(self.output, ()):
            os.close(descriptor)

    @property
    def pid(self):
        return self._popen.pid

    @property
    def exit_code(self):
        """Exit code, minus a signal's number, or None while the process runs."""
        code = self._popen.poll()
        if code is not None and self.ended_at is None:
            self.ended_at = time.monotonic()
        return code

    @property
    def first_end_signal(self):
        """First signal sent that ends the process, or None."""
        return next((s for s in self.sent if s.number in END_SIGNALS), None)

    def send(self, number):
        """Sends a signal unless the process has ended."""
        if self.exit_code is None:
            is_early = self.is_before_first_line()
            self.sent.append(SentSignal(time.monotonic(), number, is_early))
            os.kill(self.pid, number)

    async def send_series(self, number, count, interval_s):
        """Sends a signal `count` times, or until the process has ended."""
        for _ in range(count):
            if self.exit_code is not None:
                return
            self.send(number)
            await asyncio.sleep(interval_s)

    async def freeze(self, for_s):
        """Stops the process for a time; its clocks go on."""
        began_at = time.monotonic()
        self.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(for_s)
        finally:
            self.send(signal.SIGCONT)
            self.freezes.append((began_at, time.monotonic()))

    def close_reader(self):
        """Closes the reader of the process's output."""
        if self._reader is not None:
            os.close(self._reader)
            self._reader = None

    async def wait(self, timeout_s):
        """Waits for the end; returns the exit code, or None after `timeout_s`."""
        for _ in range(int(timeout_s / POLL_S)):
            if self.exit_code is not None:
                break
            await asyncio.sleep(POLL_S)
        return self.exit_code

    def is_before_first_line(self):
        """Returns whether no program could handle a signal yet.

        The signals must have their default action, and the interpreter must not have
        imported what start.py imports.
        """
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
            maps = pathlib.Path(f"/proc/{self.pid}/maps").read_text()
        except OSError:
            return False
        fields = dict(line.split(":", 1) for line in status.splitlines())
        masks = [int(fields[name], 16) for name in ("SigCgt", "SigIgn", "SigBlk")]
        is_handled = any(mask & HANDLED_BITS for mask in masks)
        return not is_handled and EXTENSION_SUFFIX not in maps

    async def wait_for_first_line(self, timeout_s):
        """Waits until the first line of start.py has run.

        Raises:
            TimeoutError: It has not run within `timeout_s`.
        """
        for _ in range(int(timeout_s / FINE_POLL_S)):
            if not self.is_before_first_line():
                return
            await asyncio.sleep(FINE_POLL_S)
        raise TimeoutError("the first line of start.py has not run")

    def end(self):
        """Kills the process if it still runs, and closes its files."""
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait()
        self._save_unread_output()
        self._log.close()

    def _save_unread_output(self):
        if self._reader is None:
            return
        os.set_blocking(self._reader, False)
        with contextlib.suppress(BlockingIOError):
            while data := os.read(self._reader, 65536):
                self._log.write(data.lstrip(b" "))
        self.close_reader()

    def read_lines(self):
        """Returns the lines of the log that are JSON objects."""
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                if isinstance(value := json.loads(line), dict):
                    lines.append(value)
        return lines


class PortHolder:
    """Takes a port of a machine, as a program of somebody else would."""

    def __init__(self, host, port, is_udp):
        kind = socket.SOCK_DGRAM if is_udp else socket.SOCK_STREAM
        self._socket = socket.socket(type=kind)
        try:
            if not is_udp:
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind((host, port))
            if not is_udp:
                self._socket.listen()
        except OSError:
            # The process before still listens there.
            self._socket.close()

    def release(self):
        """Frees the port."""
        self._socket.close()
