"""Connections of callers: requests in, answers out, one after the other."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser

# Reading pauses while so many bytes of further requests wait on a connection.
MAX_PIPELINED_REQUESTS = 8
# Time in which a caller must go on sending a body, in seconds.
BODY_STALL_TIMEOUT_S = 10.0
# Callers reuse a connection up to 4/5 of the idle limit; this comes on top of it.
IDLE_TIMEOUT_MARGIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what callers send; see `configuration.Limits`."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(self, request: heads.Request, answer: Answer) -> None:
        """Answers one request; it is cancelled when the caller leaves."""

    def reject(self, rejected: requestparser.Rejected) -> list[heads.Header]:
        """Takes what is no valid request; returns headers of its answer."""


class Answer:
    """The answer to one request, written to the caller's connection."""

    def __init__(self, connection: CallerConnection, head: heads.RequestHead) -> None:
        self._connection = connection
        self._bodiless = head.method == b"HEAD"
        self._keep_alive = head.keep_alive
        self._chunked = False
        self.begun = False
        self.ended = False

    def start(
        self, status: int, reason: bytes, headers: list[heads.Header], has_length: bool
    ) -> None:
        """Writes the head; `sized` when the headers tell the length of the body."""
        self.begun = True
        self._chunked = not has_length and heads.has_body(status) and not self._bodiless
        if self._chunked:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        if not self._keep_alive or self._connection.is_retiring:
            self._keep_alive = False
            headers = [*headers, (b"Connection", b"close")]
        self._connection.write(heads.encode_answer(status, reason, headers))

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if not data or self._bodiless:
            return
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)

    async def drain(self) -> None:
        """Waits while the caller reads slower than is written."""
        await self._connection.drain()

    def finish(self) -> None:
        """Ends the answer as whole."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.ended = True
        if not self._keep_alive:
            self._connection.close_after_answer()

    def send(self, status: int, headers: list[heads.Header], body: bytes = b"") -> None:
        """Writes a whole answer."""
        sized = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.start(status, heads.get_reason_phrase(status), sized, has_length=True)
        self.write(body)
        self.finish()

    def abort(self) -> None:
        """Breaks the connection, so that the answer can't look whole."""
        self.ended = True
        self._connection.abort()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(
        self,
        handler: Handler,
        get_limits: collections.abc.Callable[[], ServerLimits],
        registry: set[CallerConnection],
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        limits = get_limits()
        self._is_stopping = is_stopping
        self._handler = handler
        self._limits = limits
        self._registry = registry
        self._parser = requestparser.RequestParser(
            limits.max_head_bytes, limits.max_body_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[heads.Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_is_idle = False
        self._rejection: requestparser.Rejected | None = None
        self.closing = False

    @property
    def is_retiring(self) -> bool:
        """Whether the connection ends after the next answer."""
        return self.closing or self._is_stopping()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._task is None and not self._parser.in_head and not self._in_body

    @property
    def _in_body(self) -> bool:
        return self._parser.in_body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._registry.add(self)
        self._arm(self._limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        for event in self._parser.feed(data):
            match event:
                case heads.Request():
                    self._waiting.append(event)
                case requestparser.ContinueExpected():
                    self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                case requestparser.Rejected():
                    self._rejection = event
        self._advance()

    def eof_received(self) -> bool:
        """Takes the end of what the caller sends; it has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection; ends the work for it."""
        self._registry.discard(self)
        self._disarm()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()
        self._release_writer()

    def pause_writing(self) -> None:
        """The caller reads slower than is written."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """The caller has caught up."""
        self._release_writer()

    def write(self, data: bytes) -> None:
        """Writes bytes to the caller."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits while the caller reads slower than is written."""
        if self._writable is not None:
            await self._writable

    def close_after_answer(self) -> None:
        """Closes the connection once what was written has left."""
        self.closing = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Breaks the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _advance(self) -> None:
        if self._task is not None or self._transport is None:
            self._limit_reading()
            return
        if self._transport.is_closing():
            return
        if self._waiting:
            self._disarm()
            request = self._waiting.popleft()
            answer = Answer(self, request.head)
            self._task = asyncio.create_task(self._run(request, answer))
        elif self._rejection is not None:
            self._answer_rejection(self._rejection)
        elif self._parser.in_head:
            self._arm_once(self._limits.head_timeout_s)
        elif self._in_body:
            self._arm(BODY_STALL_TIMEOUT_S)
        else:
            self._arm(self._limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S)
        self._limit_reading()

    async def _run(self, request: heads.Request, answer: Answer) -> None:
        try:
            await self._handler.handle(request, answer)
        finally:
            self._task = None
            if not answer.ended:
                self.abort()
        self._advance()

    def _answer_rejection(self, rejected: requestparser.Rejected) -> None:
        headers = self._handler.reject(rejected)
        headers += [(b"Content-Length", b"0"), (b"Connection", b"close")]
        phrase = heads.get_reason_phrase(rejected.status)
        self.write(heads.encode_answer(rejected.status, phrase, headers))
        self.close_after_answer()

    def _limit_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if len(self._waiting) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()

    def _arm_once(self, delay_s: float) -> None:
        """Starts the time of a head, which further bytes of it don't extend."""
        if self._timer is None or self._timer_is_idle:
            self._arm(delay_s)
            self._timer_is_idle = False

    def _arm(self, delay_s: float) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._expire)
        self._timer_is_idle = True

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self.is_idle:
            self.close_after_answer()
            return
        detail = "the request did not arrive in time"
        self._answer_rejection(requestparser.Rejected(408, detail))

    def _release_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
