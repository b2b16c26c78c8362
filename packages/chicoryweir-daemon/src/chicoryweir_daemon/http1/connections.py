"""HTTP client connections to endpoints and the platform's store, and their pool."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import socket
import typing

from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory

# A round trip takes a few ms; a lost SYN would be retransmitted only after 1 s.
CONNECT_TIMEOUT_S = 0.7
# A peer that acknowledges no data for this long is considered dead. The time allows
# for three retransmissions.
UNACKNOWLEDGED_TIMEOUT_MS = 1000
# TCP keep-alive: the first probe after 1 s of silence, failure after two lost probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Reading and parsing pause while more than this of unread answers is held.
MAX_BUFFERED_BYTES = 65_536
# Share of the peer's idle timeout for which an idle connection is reused.
IDLE_REUSE_SHARE = 0.6
# Assumed if the peer sends no idle timeout in a `Keep-Alive` header.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# A connection that was idle for at most this long is assumed not to be in the middle
# of a close by the peer.
FRESH_MAX_IDLE_S = 0.1
MAX_IDLE_PER_ENDPOINT = 16


class ConnectError(Exception):
    """A connection could not be opened.

    Attributes:
        step: Name of the failed step; always `connect`.
        peer: Host and port.
    """

    def __init__(self, peer: str, cause: BaseException) -> None:
        super().__init__(f"connect to {peer}: {cause!r}")
        self.step = "connect"
        self.peer = peer


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of a peer; `instance` distinguishes peers on the same host and port."""

    host: str
    port: int
    instance: str = ""

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


class Connection(asyncio.BufferedProtocol):
    """A client connection that carries one request at a time.

    Attributes:
        has_answered: Whether it carried an answer to an earlier request.
        idle_since: Since when it is idle, monotonic seconds.
        idle_timeout_s: Time after which the peer closes it while it is idle.
        on_idle_closed: Called if it is closed while it is idle.
    """

    def __init__(
        self, account: memory.Account, received: limits.ReceivedLimits
    ) -> None:
        self._account = account
        self._holding = account.open(self)
        self._parser = answerparser.AnswerParser(received)
        self._events: collections.deque[answerparser.Event] = collections.deque()
        self._unparsed = b""
        self._queued_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._received_eof = False
        self._ended_cleanly = False
        self._closed = False
        self._in_use = False
        self.has_answered = False
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.on_idle_closed: typing.Callable[[Connection], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the TCP timeouts of the new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        tcp_socket = transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to receive into, which all connections share."""
        return self._account.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes; unsolicited bytes abort the connection."""
        if not self._in_use:
            self.abort()
            return
        data = self._account.read_buffer[:nbytes]
        # Bytes that were received while reading was being paused come after others.
        self._parse(self._unparsed + data if self._unparsed else data)
        if self._holds_enough and self._transport is not None:
            self._transport.pause_reading()
        self._wake_reader()
        self._update_holding()

    def eof_received(self) -> bool:
        """Records that the peer ended its side of the connection without an error."""
        self._received_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the answer in progress, or reports an idle connection as closed."""
        self._closed = True
        self._ended_cleanly = self._received_eof and exc is None
        self._account.close(self._holding)
        if not self._unparsed:
            self._end_answer()
        self._wake_reader()
        if not self._in_use and self.on_idle_closed is not None:
            self.on_idle_closed(self)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._closed or self._transport is None or self._transport.is_closing()

    def send_request(self, data: bytes) -> None:
        """Sends an encoded request, head and body."""
        assert self._transport is not None
        self._in_use = True
        self._transport.write(data)
        self._update_holding()

    def resume_writing(self) -> None:
        """Updates what is held, as most of the request was sent."""
        self._update_holding()

    def hold(self, held_bytes: int) -> None:
        """Sets how much the reader holds of the answer's body, in bytes."""
        self._body_bytes = held_bytes
        self._update_holding()

    def measure_memory(self) -> int:
        """Returns the memory that the connection holds, in bytes."""
        transport = self._transport
        return (
            len(self._unparsed)
            + self._parser.held_bytes
            + self._queued_bytes
            + self._head_bytes
            + self._body_bytes
            + (0 if transport is None else transport.get_write_buffer_size())
        )

    def is_refusable(self) -> bool:
        """Returns False, since a request that was sent has begun."""
        return False

    def release_memory(self) -> None:
        """Ends the connection; its answer counts as broken off."""
        self._events.clear()
        self._unparsed = b""
        self._queued_bytes = 0
        self.abort()

    async def receive(self, timeout_s: float) -> answerparser.Event | None:
        """Returns the next event of the answer, or None after the timeout.

        Returns `Broken` if the connection has closed without an answer.

        Args:
            timeout_s: Maximum wait, in seconds.
        """
        if not self._events:
            if self._closed:
                return answerparser.Broken("the connection ended without an answer")
            await self._wait_for_event(timeout_s)
            if not self._events:
                return None
        event = self._events.popleft()
        self._queued_bytes -= _measure_event(event)
        if isinstance(event, heads.AnswerHead):
            self._head_bytes = event.held_bytes
        # The account measures again before it ends anything, so that what is taken need
        # not be updated here for each event.
        if not self._events:
            self._continue_reading()
        return event

    def mark_idle(self, head: heads.AnswerHead, now: float) -> bool:
        """Marks the connection as idle after a complete answer.

        Returns False, and aborts the connection, if it can't be reused.
        """
        assert self._transport is not None
        has_unsent_data = self._transport.get_write_buffer_size() > 0
        has_surplus_data = bool(self._events or self._unparsed)
        is_reusable = head.keep_alive and self._parser.is_idle and not self.is_closed
        if not is_reusable or has_surplus_data or has_unsent_data:
            self.abort()
            return False
        self._in_use = False
        self._head_bytes = self._body_bytes = 0
        self._update_holding()
        self.has_answered = True
        self.idle_since = now
        self.idle_timeout_s = _parse_idle_timeout(head)
        return True

    def abort(self) -> None:
        """Closes the connection at once, which cancels its request at the peer."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait_for_event(self, timeout_s: float) -> None:
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiter = waiter
        timer = loop.call_later(timeout_s, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiter = None
            # A cancelled waiter refers to its exception, and that to this frame; both
            # would hold the request until the garbage collector finds them.
            del waiter, timer

    @property
    def _holds_enough(self) -> bool:
        return bool(self._unparsed) or self._queued_bytes > MAX_BUFFERED_BYTES

    def _parse(self, data: bytes | memoryview) -> None:
        """Parses data until enough is queued, and keeps a copy of the rest."""
        start, end = 0, len(data)
        while start < end and self._queued_bytes <= MAX_BUFFERED_BYTES:
            part = data[start : start + answerparser.STEP_BYTES]
            self._queue(self._parser.feed(part))
            start += answerparser.STEP_BYTES
        self._unparsed = bytes(data[start:])

    def _continue_reading(self) -> None:
        """Parses and reads on once all events are taken."""
        while self._unparsed and not self._events:
            self._parse(self._unparsed)
        if self._unparsed:
            return
        if self._closed and not self._events:
            self._end_answer()
        elif self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _end_answer(self) -> None:
        """Queues the end of the answer of a connection that ended."""
        self._queue(self._parser.feed_eof(self._ended_cleanly))
        if not self._events and self._in_use:
            detail = "the connection ended without an answer"
            self._queue([answerparser.Broken(detail)])

    def _queue(self, events: list[answerparser.Event]) -> None:
        for event in events:
            self._events.append(event)
            self._queued_bytes += _measure_event(event)
            if isinstance(event, answerparser.Broken) and event.is_beyond_limit:
                self._account.record_refusal(memory.Cause.ANSWER)

    def _wake_reader(self) -> None:
        if self._events and self._waiter is not None:
            _wake(self._waiter)

    def _update_holding(self) -> None:
        if self._closed:
            return
        self._holding.update(self.measure_memory())
        if self._account.is_full:
            self._account.relieve()


class Pool:
    """Pool of idle connections, grouped by address."""

    def __init__(
        self,
        account: memory.Account | None = None,
        received: limits.ReceivedLimits = limits.DEFAULT,
    ) -> None:
        """Creates an empty pool.

        Args:
            account: Account of the memory that its connections hold; None for one
                without a limit.
            received: Limits of answers.
        """
        self._account = memory.Account() if account is None else account
        self._received = received
        self._idle: dict[Address, list[Connection]] = {}
        self.opened = 0

    def count_idle(self) -> int:
        """Returns the number of idle connections."""
        return sum(len(idle) for idle in self._idle.values())

    async def acquire(self, address: Address, fresh: bool, now: float) -> Connection:
        """Returns an idle connection, or opens one.

        Args:
            address: Address of the peer.
            fresh: Whether to reuse only connections idle for at most
                `FRESH_MAX_IDLE_S`.
            now: Monotonic time, in seconds.

        Raises:
            ConnectError: No connection could be opened.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            idle_s = now - connection.idle_since
            max_idle_s = (
                FRESH_MAX_IDLE_S
                if fresh
                else connection.idle_timeout_s * IDLE_REUSE_SHARE
            )
            if not connection.is_closed and idle_s <= max_idle_s:
                return connection
            if (
                connection.is_closed
                or idle_s > connection.idle_timeout_s * IDLE_REUSE_SHARE
            ):
                connection.abort()
                continue
            idle.append(connection)
            break
        return await self.open(address)

    async def is_refused(self, address: Address, timeout_s: float) -> bool:
        """Returns whether the peer refuses a new connection, since nothing listens.

        Args:
            address: Address of the peer.
            timeout_s: Maximum time to wait for its answer, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.open(address)
        except (ConnectError, TimeoutError) as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.abort()
        return False

    def release(
        self,
        address: Address,
        connection: Connection,
        head: heads.AnswerHead,
        now: float,
    ) -> None:
        """Returns a connection to the pool after a complete answer."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ENDPOINT:
            connection.abort()
            return
        if connection.mark_idle(head, now):
            connection.on_idle_closed = lambda closed: self._discard(address, closed)
            idle.append(connection)

    def _discard(self, address: Address, connection: Connection) -> None:
        with contextlib.suppress(ValueError, KeyError):
            self._idle[address].remove(connection)

    async def open(self, address: Address) -> Connection:
        """Opens a new connection.

        Raises:
            ConnectError: No connection could be opened.
        """
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._account, self._received),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(str(address), error) from error
        return connection


def _measure_event(event: answerparser.Event) -> int:
    """Returns the memory that an event holds, in bytes."""
    match event:
        case answerparser.BodyPart(data):
            return memory.PART_BYTES + len(data)
        case heads.AnswerHead():
            return event.held_bytes
        case _:
            return memory.PART_BYTES


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def _parse_idle_timeout(head: heads.AnswerHead) -> float:
    """Parses the peer's idle timeout, in seconds, from the `Keep-Alive` header."""
    for part in (head.find(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        seconds = heads.parse_whole_number(value)
        if name.lower() == b"timeout" and seconds is not None:
            return float(seconds)
    return DEFAULT_IDLE_TIMEOUT_S
