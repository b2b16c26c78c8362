"""Callers' connections, each of which answers its requests one at a time."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory
from chicoryweir_daemon.http1 import requestparser
from chicoryweir_daemon.http1 import unreadanswers

# Reading and parsing pause while this many parsed requests wait on a connection, or
# requests that hold this much.
MAX_PIPELINED_REQUESTS = 8
MAX_PIPELINED_BYTES = 65_536
# Status code of the answer to a request that ended with an unexpected error. It says
# nothing about whether the request ran.
FAILURE_STATUS = 500
# Status code of the answer to a request that there is no memory for; it has not run.
NO_MEMORY_STATUS = 503
NO_MEMORY_RETRY_S = b"1"
# Maximum time between two parts of a request's body.
BODY_STALL_TIMEOUT_S = 10.0
# Added to the configured idle timeout. Callers stop reusing a connection after 4/5 of
# the configured timeout, so the margin makes a reuse during the close less likely.
IDLE_TIMEOUT_MARGIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size and time limits for requests; see `configuration.Limits`."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float
    received: limits.ReceivedLimits = limits.DEFAULT


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(self, request: heads.Request, answer: Answer) -> None:
        """Answers one request; cancelled when the caller disconnects."""

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Records an invalid request and returns the headers of its answer."""


class Answer:
    """The answer to one request, written to the caller's connection."""

    def __init__(self, connection: CallerConnection, head: heads.RequestHead) -> None:
        self._connection = connection
        self._omits_body = head.method == b"HEAD"
        self._keep_alive = head.keep_alive
        self._chunked = False
        self.begun = False
        self.ended = False

    def start(
        self, status: int, reason: bytes, headers: list[heads.Header], has_length: bool
    ) -> None:
        """Writes the head of the answer.

        Args:
            status: Status code.
            reason: Reason phrase.
            headers: Headers.
            has_length: Whether the headers include the length of the body; if not, the
                body is sent chunked.
        """
        self.begun = True
        self._chunked = (
            not has_length and heads.has_body(status) and not self._omits_body
        )
        if self._chunked:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        if not self._keep_alive or self._connection.closes_after_answer:
            self._keep_alive = False
            headers = [*headers, (b"Connection", b"close")]
        self._connection.write(heads.encode_answer(status, reason, headers))

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if not data or self._omits_body:
            return
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)

    async def drain(self) -> None:
        """Waits while the transport has paused writing."""
        await self._connection.drain()

    def finish(self) -> None:
        """Completes the answer."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.ended = True
        if not self._keep_alive:
            self._connection.close_after_answer()

    def send(self, status: int, headers: list[heads.Header], body: bytes = b"") -> None:
        """Writes a complete answer."""
        all_headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.start(
            status, heads.get_reason_phrase(status), all_headers, has_length=True
        )
        self.write(body)
        self.finish()

    def hold(self, held_bytes: int) -> None:
        """Sets how much of an endpoint's answer is held before it is sent, in bytes."""
        self._connection.hold(held_bytes)

    def abort(self) -> None:
        """Aborts the connection, so that the caller sees the answer as incomplete."""
        self.ended = True
        self._connection.abort()


class CallerConnection(asyncio.BufferedProtocol):
    """Server side of a connection of a caller."""

    def __init__(
        self,
        handler: Handler,
        get_limits: collections.abc.Callable[[], ServerLimits],
        open_connections: set[CallerConnection],
        is_stopping: collections.abc.Callable[[], bool],
        is_admitted: collections.abc.Callable[[int], bool],
        account: memory.Account,
    ) -> None:
        server_limits = get_limits()
        self._is_stopping = is_stopping
        self._handler = handler
        self._limits = server_limits
        self._open_connections = open_connections
        self._is_admitted = is_admitted
        self._account = account
        self._holding = account.open(self)
        self._parser = requestparser.RequestParser(
            server_limits.max_head_bytes,
            server_limits.max_body_bytes,
            server_limits.received,
        )
        self._unparsed = b""
        self._pending_bytes = 0
        self._running_bytes = 0
        self._answer_bytes = 0
        self._unread_timer = unreadanswers.UnreadTimer(
            server_limits.received.unread_timeout_s, self._count_unsent, self._on_unread
        )
        self._awaits_continue = False
        self._body_began_at: float | None = None
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[heads.Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_restartable = False
        self._rejection: requestparser.Rejected | None = None
        self.is_closing = False

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the next answer."""
        return self.is_closing or self._is_stopping()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._task is None and not self._parser.in_head and not self._in_body

    @property
    def _in_body(self) -> bool:
        return self._parser.in_body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer.

        Closes the connection at once if there are as many as the process can serve.
        """
        self._transport = typing.cast(asyncio.Transport, transport)
        if not self._is_admitted(len(self._open_connections)):
            self.abort()
            return
        self._open_connections.add(self)
        self._start_timer(self._limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to receive into, which all connections share."""
        return self._account.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes and starts answering complete requests.

        If there is no memory for them, refuses what was not begun yet, here or on
        connections that hold more.
        """
        data = self._account.read_buffer[:nbytes]
        # Bytes that were received while reading was being paused come after others.
        self._unparsed = self._parse(self._unparsed + data if self._unparsed else data)
        self._update_holding()
        self._process_next()

    def eof_received(self) -> bool:
        """Closes the connection; a half-closed one is treated as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregisters the connection and cancels the request in progress."""
        self._open_connections.discard(self)
        self._account.close(self._holding)
        self._stop_timer()
        self._unread_timer.stop()
        self._discard_requests()
        if self._task is not None:
            self._task.cancel()
        self._resume_writer()

    def pause_writing(self) -> None:
        """Makes `drain` wait, as the write buffer is above its high-water mark."""
        if self._drained is None:
            self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Lets `drain` return, as the write buffer is below its low-water mark."""
        self._update_holding()
        self._resume_writer()

    def write(self, data: bytes) -> None:
        """Writes bytes to the caller, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if self._count_unsent():
                self._unread_timer.record_write(len(data))
                self._update_holding()

    def hold(self, held_bytes: int) -> None:
        """Sets how much of an answer is held before it is written, in bytes."""
        self._answer_bytes = held_bytes
        self._update_holding()

    def is_refusable(self) -> bool:
        """Returns whether nothing that it holds has begun to run."""
        return self._task is None and not self._count_unsent()

    def measure_memory(self) -> int:
        """Returns the memory that the connection holds, in bytes."""
        return (
            len(self._unparsed)
            + self._parser.held_bytes
            + self._pending_bytes
            + self._running_bytes
            + self._answer_bytes
            + self._count_unsent()
        )

    def release_memory(self) -> None:
        """Refuses what has not begun, or ends the connection."""
        if self.is_refusable() and not self.is_closing:
            detail = "no memory for more requests"
            self._answer_rejection(requestparser.Rejected(NO_MEMORY_STATUS, detail))
        else:
            self.abort()

    async def drain(self) -> None:
        """Waits while the transport has paused writing."""
        if self._drained is not None:
            await self._drained

    def close_after_answer(self) -> None:
        """Closes the connection after flushing the write buffer."""
        self.is_closing = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once and discards the write buffer."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _holds_enough(self) -> bool:
        return (
            len(self._pending) >= MAX_PIPELINED_REQUESTS
            or self._pending_bytes >= MAX_PIPELINED_BYTES
        )

    def _parse(self, data: bytes | memoryview) -> bytes:
        """Parses data until enough requests wait; returns a copy of the rest."""
        start, end = 0, len(data)
        while start < end and self._rejection is None and not self._holds_enough:
            step_bytes = self._parser.step_bytes
            for event in self._parser.feed(data[start : start + step_bytes]):
                match event:
                    case heads.Request():
                        self._pending.append(event)
                        self._pending_bytes += event.held_bytes
                        self._awaits_continue = False
                    case requestparser.ContinueExpected():
                        self._awaits_continue = True
                    case requestparser.Rejected():
                        self._rejection = event
            start += step_bytes
        return b"" if self._rejection is not None else bytes(data[start:])

    def _update_holding(self) -> None:
        self._holding.update(self.measure_memory())
        if self._account.is_full:
            self._account.relieve()

    def _count_unsent(self) -> int:
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def _on_unread(self) -> None:
        """Ends a connection whose caller takes nothing of its answers."""
        self._account.record_refusal(memory.Cause.UNREAD)
        self.abort()

    def _discard_requests(self) -> None:
        """Discards what has not begun."""
        self._pending.clear()
        self._pending_bytes = 0
        self._unparsed = b""
        self._parser.discard()

    def _process_next(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._task is not None:
            self._update_reading()
            return
        if self._unparsed and not self._holds_enough:
            self._unparsed = self._parse(self._unparsed)
        if self._pending and self._account.is_full:
            self._account.record_refusal(memory.Cause.NO_MEMORY)
            self.release_memory()
        elif self._pending:
            self._stop_timer()
            request = self._pending.popleft()
            self._pending_bytes -= request.held_bytes
            self._running_bytes = request.held_bytes
            answer = Answer(self, request.head)
            self._task = asyncio.create_task(self._run(request, answer))
        elif self._rejection is not None:
            self._answer_rejection(self._rejection)
        else:
            self._await_request()
        self._update_reading()

    def _await_request(self) -> None:
        """Starts the timer for what the caller has to send next."""
        if self._parser.in_head:
            self._start_head_timer(self._limits.head_timeout_s)
        elif self._in_body:
            if self._awaits_continue:
                self._awaits_continue = False
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._start_body_timer()
        else:
            self._start_timer(self._limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S)

    async def _run(self, request: heads.Request, answer: Answer) -> None:
        try:
            await self._handler.handle(request, answer)
            # Requests that follow wait until their caller reads.
            await self.drain()
        except Exception as error:
            context = {"message": "answer a request", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
            if not answer.begun:
                answer.send(FAILURE_STATUS, [])
        finally:
            self._task = None
            if not answer.ended:
                self.abort()
        self._running_bytes = self._answer_bytes = 0
        self._body_began_at = None
        self._update_holding()
        self._process_next()

    def _answer_rejection(self, rejected: requestparser.Rejected) -> None:
        self._discard_requests()
        if rejected.cause is not None:
            self._account.record_refusal(rejected.cause)
        headers = self._handler.reject(rejected)
        headers += [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if rejected.status == NO_MEMORY_STATUS:
            headers.append((b"Retry-After", NO_MEMORY_RETRY_S))
        phrase = heads.get_reason_phrase(rejected.status)
        self.is_closing = True
        self.write(heads.encode_answer(rejected.status, phrase, headers))
        self.close_after_answer()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._unparsed or self._holds_enough:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()

    def _start_head_timer(self, delay_s: float) -> None:
        """Starts the timeout for a head; further bytes of the head don't extend it."""
        if self._timer is None or self._timer_restartable:
            self._start_timer(delay_s)
            self._timer_restartable = False

    def _start_body_timer(self) -> None:
        """Starts the timeout for a body, which all of its parts share."""
        now = asyncio.get_running_loop().time()
        if self._body_began_at is None:
            self._body_began_at = now
        left_s = self._body_began_at + self._limits.received.body_timeout_s - now
        self._start_timer(min(BODY_STALL_TIMEOUT_S, max(0.0, left_s)))

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timeout)
        self._timer_restartable = True

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self.is_idle:
            self.close_after_answer()
            return
        detail = "the request did not arrive in time"
        self._answer_rejection(requestparser.Rejected(408, detail, memory.Cause.SLOW))

    def _resume_writer(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None
