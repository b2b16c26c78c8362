"""Plays a crowd of hostile clients against a real process of little memory."""

import asyncio
import contextlib
import dataclasses
import itertools
import pathlib
import socket

import fleetstandins
from processsoak import processes
from processsoak import settingsfiles

from chicoryweir_standins.launch import ports

# The bounds of every play: a process of less memory and fewer descriptors than the
# smallest machine (152 MB, 1,535 descriptors). It uses 44 MB when nobody calls.
MEMORY_MB = 100
MAX_DESCRIPTORS = 400
# Numbers of clients. Operations listeners accept 35 connections in all.
CALLERS = 120
OPERATORS = 30
# A client sends at most this much; a play ends at the latest after this time.
MAX_SENT_BYTES = 2_000_000
PLAY_S = 6.0
SAMPLE_S = 0.02
RETRY_S = 0.1
# Time within which the ordinary request after a play has to succeed. It only tells a
# process that hangs; refusals are repeated until then.
HANG_S = 40.0
HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True)
class Client:
    """What one hostile client sends.

    Attributes:
        start: Sent once.
        part: Sent again and again after that; nothing if it is empty.
        reads: Whether it reads what it gets.
    """

    start: bytes
    part: bytes = b""
    reads: bool = True

    async def run(self, port):
        """Sends until the connection ends or enough is sent, and keeps it open."""
        with socket.socket() as raw:
            raw.setblocking(False)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            with contextlib.suppress(OSError):
                await asyncio.get_running_loop().sock_connect(raw, (HOST, port))
                receiving = asyncio.create_task(self._receive(raw))
                try:
                    await self._send(raw, receiving)
                    await receiving
                finally:
                    receiving.cancel()

    async def _send(self, raw, receiving):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(raw, self.start)
        data = self.part * max(1, 16_384 // max(1, len(self.part)))
        for _ in range(MAX_SENT_BYTES // len(data) if data else 0):
            if receiving.done():
                return
            await loop.sock_sendall(raw, data)

    async def _receive(self, raw):
        loop = asyncio.get_running_loop()
        if not self.reads:
            await asyncio.Event().wait()
        with contextlib.suppress(OSError):
            while await loop.sock_recv(raw, 65536):
                pass


class Subject:
    """A process with lowered limits, its stand-ins, and the most that it used.

    Attributes:
        memory_mb: Bound of its resident memory.
    """

    memory_mb = MEMORY_MB

    def __init__(self, directory, role, store, endpoint):
        self.role = role
        self.store = store
        self.endpoint = endpoint
        self.ports = settingsfiles.Ports(*ports.pick_ports(5))
        self.max_memory_mb = 0.0
        self.max_descriptors = 0
        self._directory = directory
        self._process = None

    async def start(self):
        """Starts the process and waits until it answers."""
        text = settingsfiles.SettingsText(
            self.role, HOST, self.ports, self.store.port, rank_port=1
        ).build()
        path = self._directory / "settings"
        path.write_text(
            f"{text}limits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_DESCRIPTORS}\n"
        )
        self._process = processes.Process(
            self.role,
            HOST,
            path,
            self._directory / "log",
            processes.Output.FILE,
            MAX_DESCRIPTORS,
        )
        await self.serve_one()

    def end(self):
        """Ends the process."""
        self._process.end()

    @property
    def is_running(self):
        return self._process.exit_code is None

    def read_log(self):
        return self._process.read_lines()

    async def play(self, clients, port):
        """Plays clients until all are done, the time is over or a bound is broken."""
        tasks = [asyncio.create_task(client.run(port)) for client in clients]
        for _ in range(int(PLAY_S / SAMPLE_S)):
            if all(task.done() for task in tasks) or not self.is_in_bounds():
                break
            await asyncio.sleep(SAMPLE_S)
        if self.is_in_bounds():
            await self.serve_one()
            self.is_in_bounds()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_in_bounds(self):
        """Samples what the process uses; returns whether it runs within its bounds."""
        if not self.is_running:
            return False
        process = pathlib.Path(f"/proc/{self._process.pid}")
        fields = dict(
            line.split(":", 1) for line in (process / "status").read_text().splitlines()
        )
        self.max_memory_mb = int(fields["VmHWM"].split()[0]) / 1024
        open_count = len(list((process / "fd").iterdir()))
        self.max_descriptors = max(self.max_descriptors, open_count)
        return self.max_memory_mb < self.memory_mb and open_count < MAX_DESCRIPTORS

    async def serve_one(self):
        """Repeats an ordinary request until it is answered as it should be.

        Raises:
            TimeoutError: It wasn't in `HANG_S`.
        """
        async with asyncio.timeout(HANG_S):
            for _ in itertools.count():
                if await self.try_one():
                    return
                await asyncio.sleep(RETRY_S)

    async def try_one(self, request=b""):
        """Sends an ordinary request; returns whether it is answered as it should be."""
        system = fleetstandins.System(None, None, None, None)
        port, expected, body = self.ports.front, 200, b"whole"
        request = request or system.encode_request("/again/x", X_Ordinary="1")
        if self.role == "agent":
            port, expected, body = self.ports.peer, 404, b""
            request = b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            return await exchange(port, request) == (expected, body)
        return False


async def exchange(port, request):
    """Sends a request on a new connection; returns the answer's status and body."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request)
        system = fleetstandins.System(None, None, None, None)
        status, _, body, _ = await system.read_answer(reader)
    finally:
        writer.close()
    return status, body
