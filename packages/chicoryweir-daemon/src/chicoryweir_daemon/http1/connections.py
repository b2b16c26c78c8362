"""Connections to endpoints and to the platform's store."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import socket
import typing

from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import heads

# A round trip is some ms; a lost opening packet is sent again after a second.
CONNECT_TIMEOUT_S = 0.7
# Bytes that a peer doesn't acknowledge for so long prove the connection dead; three
# retransmissions fit.
UNACKNOWLEDGED_TIMEOUT_MS = 1000
# A silent connection is probed after 1 s and given up after two lost probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Reading pauses while so much of an answer waits for its caller.
MAX_BUFFERED_BYTES = 262_144
# Used up to this part of the time after which the endpoint closes an idle connection.
IDLE_REUSE_SHARE = 0.6
# Where the endpoint doesn't tell its idle time, in seconds.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# A connection used so lately isn't being closed by its endpoint, in seconds.
FRESH_MAX_IDLE_S = 0.1
MAX_IDLE_PER_ENDPOINT = 16


class ConnectError(Exception):
    """No connection could be opened.

    Attributes:
        step: Step that failed.
        peer: Host and port.
    """

    def __init__(self, peer: str, cause: BaseException) -> None:
        super().__init__(f"connect to {peer}: {cause!r}")
        self.step = "connect"
        self.peer = peer


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a peer listens; `instance` tells apart those that share an address."""

    host: str
    port: int
    instance: str = ""

    def __str__(self) -> str:
        """Returns host and port."""
        return f"{self.host}:{self.port}"


class Connection(asyncio.Protocol):
    """One connection that serves one request at a time."""

    def __init__(self) -> None:
        self._parser = answerparser.AnswerParser()
        self._events: collections.deque[answerparser.Event] = collections.deque()
        self._buffered = 0
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._clean_end = False
        self._lost = False
        self._active = False
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.on_idle_closed: typing.Callable[[Connection], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            raw.setsockopt(socket.IPPROTO_TCP, option, value)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the peer; bytes that nobody asked for end the connection."""
        if not self._active:
            self.abort()
            return
        self._buffered += len(data)
        self._deliver(self._parser.feed(data))
        if self._buffered > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Takes the orderly end of the peer's bytes."""
        self._clean_end = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""
        self._lost = True
        self._deliver(self._parser.feed_eof(self._clean_end and exc is None))
        if not self._active and self.on_idle_closed is not None:
            self.on_idle_closed(self)

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended."""
        return self._lost or self._transport is None or self._transport.is_closing()

    def send_request(self, data: bytes) -> None:
        """Sends a request, head and body."""
        assert self._transport is not None
        self._active = True
        self._transport.write(data)

    async def receive(self, timeout_s: float) -> answerparser.Event | None:
        """Returns the next part of the answer; `Broken` when there is none.

        Args:
            timeout_s: Time after which None is returned, in seconds.
        """
        if not self._events:
            if self._lost:
                return answerparser.Broken("the connection ended without an answer")
            await self._await_event(timeout_s)
            if not self._events:
                return None
        event = self._events.popleft()
        if isinstance(event, answerparser.Body):
            self._buffered -= len(event.data)
        if not self._events:
            self._buffered = 0
            if self._transport is not None and not self._transport.is_closing():
                self._transport.resume_reading()
        return event

    def mark_idle(self, head: heads.AnswerHead, now: float) -> bool:
        """Ends a request whose answer was whole; False when it can't serve more."""
        assert self._transport is not None
        unsent = self._transport.get_write_buffer_size() > 0
        surplus = bool(self._events) or not self._parser.is_idle
        if not head.keep_alive or surplus or unsent or self.is_lost:
            self.abort()
            return False
        self._active = False
        self.idle_since = now
        self.idle_timeout_s = _parse_idle_timeout(head)
        return True

    def abort(self) -> None:
        """Breaks the connection; the peer drops what it does for it."""
        if self._transport is not None:
            self._transport.abort()

    async def _await_event(self, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiter = waiter
        timer = loop.call_later(timeout_s, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _deliver(self, events: list[answerparser.Event]) -> None:
        self._events.extend(events)
        if self._lost and not self._events and self._active:
            detail = "the connection ended without an answer"
            self._events.append(answerparser.Broken(detail))
        if self._events and self._waiter is not None:
            _wake(self._waiter)


class Pool:
    """Idle connections, by address."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[Connection]] = {}
        self.opened = 0

    def count_idle(self) -> int:
        """Returns the idle connections."""
        return sum(len(idle) for idle in self._idle.values())

    async def acquire(self, address: Address, fresh: bool, now: float) -> Connection:
        """Returns a connection for one request.

        Args:
            address: Where to.
            fresh: Whether one that may be ending must not be used.
            now: Monotonic time, in seconds.

        Raises:
            ConnectError: None could be opened.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            age_s = now - connection.idle_since
            limit_s = (
                FRESH_MAX_IDLE_S
                if fresh
                else connection.idle_timeout_s * IDLE_REUSE_SHARE
            )
            if not connection.is_lost and age_s <= limit_s:
                return connection
            if (
                connection.is_lost
                or age_s > connection.idle_timeout_s * IDLE_REUSE_SHARE
            ):
                connection.abort()
                continue
            idle.append(connection)
            break
        return await self._open(address)

    def release(
        self,
        address: Address,
        connection: Connection,
        head: heads.AnswerHead,
        now: float,
    ) -> None:
        """Takes back a connection after a whole answer."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ENDPOINT:
            connection.abort()
            return
        if connection.mark_idle(head, now):
            connection.on_idle_closed = lambda ended: self._discard(address, ended)
            idle.append(connection)

    def _discard(self, address: Address, connection: Connection) -> None:
        with contextlib.suppress(ValueError, KeyError):
            self._idle[address].remove(connection)

    async def _open(self, address: Address) -> Connection:
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    Connection, address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(str(address), error) from error
        return connection


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def _parse_idle_timeout(head: heads.AnswerHead) -> float:
    """Reads the time that the peer keeps an idle connection, in seconds."""
    for part in (head.find(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return DEFAULT_IDLE_TIMEOUT_S
