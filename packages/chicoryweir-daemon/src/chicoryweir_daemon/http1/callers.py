"""Callers' connections, each of which answers its requests one at a time."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser

# Reading pauses while this many parsed requests wait on a connection.
MAX_PIPELINED_REQUESTS = 8
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


class RequestBuffer:
    """Memory for requests that are being read or wait for their answer.

    All connections of a process share it.

    Attributes:
        used_bytes: Bytes that are held.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether more is held than the process has memory for."""
        return self.used_bytes > self._max_bytes


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

    def abort(self) -> None:
        """Aborts the connection, so that the caller sees the answer as incomplete."""
        self.ended = True
        self._connection.abort()


class CallerConnection(asyncio.Protocol):
    """Server side of a connection of a caller."""

    def __init__(
        self,
        handler: Handler,
        get_limits: collections.abc.Callable[[], ServerLimits],
        open_connections: set[CallerConnection],
        is_stopping: collections.abc.Callable[[], bool],
        is_admitted: collections.abc.Callable[[int], bool],
        buffer: RequestBuffer,
    ) -> None:
        limits = get_limits()
        self._is_stopping = is_stopping
        self._handler = handler
        self._limits = limits
        self._open_connections = open_connections
        self._is_admitted = is_admitted
        self._buffer = buffer
        self._held_bytes = 0
        self._parser = requestparser.RequestParser(
            limits.max_head_bytes, limits.max_body_bytes
        )
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

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and starts answering complete requests.

        Rejects what was not begun yet if there is no memory for it.
        """
        self._held_bytes += len(data)
        self._buffer.used_bytes += len(data)
        for event in self._parser.feed(data):
            match event:
                case heads.Request():
                    self._pending.append(event)
                case requestparser.ContinueExpected():
                    self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                case requestparser.Rejected():
                    self._rejection = event
        if self._buffer.is_full and self._task is None:
            self._pending.clear()
            detail = "no memory for more requests"
            self._rejection = requestparser.Rejected(NO_MEMORY_STATUS, detail)
        self._process_next()

    def eof_received(self) -> bool:
        """Closes the connection; a half-closed one is treated as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregisters the connection and cancels the request in progress."""
        self._open_connections.discard(self)
        self._release_buffer()
        self._stop_timer()
        self._pending.clear()
        if self._task is not None:
            self._task.cancel()
        self._resume_writer()

    def pause_writing(self) -> None:
        """Makes `drain` wait, as the write buffer is above its high-water mark."""
        if self._drained is None:
            self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Lets `drain` return, as the write buffer is below its low-water mark."""
        self._resume_writer()

    def write(self, data: bytes) -> None:
        """Writes bytes to the caller, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

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

    def _process_next(self) -> None:
        if self._task is not None or self._transport is None:
            self._update_reading()
            return
        if self._transport.is_closing():
            return
        if self._pending:
            self._stop_timer()
            request = self._pending.popleft()
            answer = Answer(self, request.head)
            self._task = asyncio.create_task(self._run(request, answer))
        elif self._rejection is not None:
            self._answer_rejection(self._rejection)
        elif self._parser.in_head:
            self._start_head_timer(self._limits.head_timeout_s)
        elif self._in_body:
            self._start_timer(BODY_STALL_TIMEOUT_S)
        else:
            self._start_timer(self._limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S)
        self._update_reading()

    async def _run(self, request: heads.Request, answer: Answer) -> None:
        try:
            await self._handler.handle(request, answer)
        except Exception as error:
            context = {"message": "answer a request", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
            if not answer.begun:
                answer.send(FAILURE_STATUS, [])
        finally:
            self._task = None
            if not answer.ended:
                self.abort()
        if self.is_idle and not self._pending:
            self._release_buffer()
        self._process_next()

    def _release_buffer(self) -> None:
        self._buffer.used_bytes -= self._held_bytes
        self._held_bytes = 0

    def _answer_rejection(self, rejected: requestparser.Rejected) -> None:
        headers = self._handler.reject(rejected)
        headers += [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if rejected.status == NO_MEMORY_STATUS:
            headers.append((b"Retry-After", NO_MEMORY_RETRY_S))
        phrase = heads.get_reason_phrase(rejected.status)
        self.write(heads.encode_answer(rejected.status, phrase, headers))
        self.close_after_answer()

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()

    def _start_head_timer(self, delay_s: float) -> None:
        """Starts the timeout for a head; further bytes of the head don't extend it."""
        if self._timer is None or self._timer_restartable:
            self._start_timer(delay_s)
            self._timer_restartable = False

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
        self._answer_rejection(requestparser.Rejected(408, detail))

    def _resume_writer(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None
