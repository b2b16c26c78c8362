"""Clients that keep connections to entries open and check every answer."""

import asyncio
import dataclasses
import random
import time

import fleetstandins

ANSWER_TIMEOUT_S = 9.0
RETRY_S = 0.1
EVENTS = 8
EVENT_INTERVAL_S = 0.1
PATHS = ("/again/x", "/again/x", "/once/x", "/stream/x")


@dataclasses.dataclass(frozen=True)
class Call:
    """A request and what became of it; times are monotonic, in seconds.

    Attributes:
        host: Host of the entry.
        path: Path of the request.
        opened_at: When its connection was opened.
        sent_at: When it was sent.
        ended_at: When the answer or the connection ended.
        status: Status of the answer, or 0 without one.
        is_complete: Whether the answer came to its end.
        is_whole: Whether its body is what the endpoint sends.
    """

    host: str
    path: str
    opened_at: float
    sent_at: float
    ended_at: float
    status: int
    is_complete: bool
    is_whole: bool


def _build_body(token):
    return token * 400


def _build_events(token):
    return [b"id: %d\ndata: %s\n\n" % (n + 1, token) for n in range(EVENTS)]


async def answer(endpoint, headers, writer):
    """Handles a request at an endpoint; its body is repeated in the answer."""
    attempt = headers["chicoryweir-attempt-id"]
    request = next(r for r in endpoint.requests if r[1] is headers)
    endpoint.requests.remove(request)
    line, _, token = request
    if "/stream/" not in line:
        await asyncio.sleep(random.uniform(0.0, 0.4))
        writer.write(fleetstandins.build_answer(attempt, _build_body(token)))
        await writer.drain()
        return
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Chicoryweir-Attempt-Id: %s\r\nChicoryweir-Server-Stamp: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" % attempt.encode()
    )
    for event in _build_events(token):
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Client:
    """Sends one request after the other to one entry."""

    def __init__(self, name, host, port, rng):
        self._name = name
        self._host = host
        self._port = port
        self._rng = rng
        self._format = fleetstandins.System(None, None, None, None)
        self._count = 0
        self.calls = []

    async def run(self):
        """Opens a new connection whenever the one before has ended."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(self._host, self._port)
            except OSError:
                await asyncio.sleep(RETRY_S)
                continue
            try:
                await self._use(reader, writer, time.monotonic())
            finally:
                writer.close()
            await asyncio.sleep(RETRY_S)

    async def _use(self, reader, writer, opened_at):
        while not reader.at_eof():
            if not await self._call(reader, writer, opened_at):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))

    async def _call(self, reader, writer, opened_at):
        """Sends a request; returns whether its answer was complete."""
        self._count += 1
        attempt = f"{self._name}-{self._count}"
        token = f"{attempt} ".encode()
        path = self._rng.choice(PATHS)
        sent_at = time.monotonic()
        status, body, is_complete = 0, b"", False
        try:
            writer.write(self._format.encode_request(path, token, attempt))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, _, body, is_complete = await self._format.read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            # TimeoutError, resets and ends are told apart by the times of the call.
            pass
        whole = (
            b"".join(_build_events(token))
            if path.startswith("/stream")
            else _build_body(token)
        )
        self.calls.append(
            Call(
                self._host,
                path,
                opened_at,
                sent_at,
                time.monotonic(),
                status,
                is_complete,
                body == whole,
            )
        )
        return is_complete
