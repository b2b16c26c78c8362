"""HTTP protocol of uvicorn with limits of size, memory and time, which it lacks."""

from __future__ import annotations

import asyncio
import collections.abc
import enum
import secrets
import typing

from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from chicoryweir_daemon.entry import connection_limits
from chicoryweir_daemon.entry import problems
from chicoryweir_daemon.http1 import memory
from chicoryweir_daemon.http1 import unreadanswers
from chicoryweir_policy import outcomes

# Maximum number of bytes in a row that are neither a whole head nor a body; settings
# allow heads of up to 1 MiB.
MAX_BYTES = (1 << 20) + 65_536
# A head of 64 KiB has at most this many header lines.
MAX_LINES = 16_384
MAX_TARGET_BYTES = 65_536
MAX_TRAILER_LINES = 64
MAX_EMPTY_LINES = 64
# Maximum number of bytes that are parsed at once, other than of a body of known length.
# What they contain is held before the next limit check.
STEP_BYTES = 4_096
# Memory of a header beside its bytes: as received, and decoded in a dictionary.
LINE_BYTES = memory.HEADER_BYTES + 240
# Memory of a request beside its head and body: its scope, its cycle and its task.
REQUEST_BYTES = 6_144
# A body is held by its request and, while it is sent to an agent, by the encoded and
# the signed frame; with a factor of 2, a process of 152 MB grew to 160 MB.
BODY_FACTOR = 3
NO_MEMORY_RETRY_MS = 1_000
# Requests of callers run only once their body is complete. Those of operators may not
# read it.
CALLER_PATHS = "/v1/"
_LINE_ENDS = b"\r\n"


class BeyondLimitError(Exception):
    """A part of a request is beyond a limit; the request is answered with 400."""


class _Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    ANSWER = enum.auto()


class _Flow(flow_control.FlowControl):
    """Flow control that parses what was received before reading resumes."""

    def __init__(
        self, transport: asyncio.Transport, resume: collections.abc.Callable[[], None]
    ) -> None:
        super().__init__(transport)
        self._resume = resume

    def resume_reading(self) -> None:
        """Lets the protocol parse what is left, and read once nothing is."""
        if self.read_paused:
            self.read_paused = False
            self._resume()


class LimitedProtocol(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """Server side of a connection whose requests have limits.

    Parses in steps and stops while a request waits for its answer, so that what is held
    is checked in between.
    """

    def __init__(
        self,
        *args: typing.Any,
        limits: connection_limits.ConnectionLimits | None = None,
        **kwargs: typing.Any,
    ) -> None:
        """Creates a protocol.

        Args:
            *args: What uvicorn passes to its own.
            limits: Limits that all connections share.
            **kwargs: What uvicorn passes to its own.
        """
        super().__init__(*args, **kwargs)
        self._limits = limits or connection_limits.create_unlimited()
        self._account = self._limits.account
        self._holding: memory.Holding | None = None
        self._unread_timer = unreadanswers.UnreadTimer(
            self._limits.timeouts.unread_s, self._count_unsent, self._on_unread
        )
        self._unparsed = b""
        self._unusable_bytes = 0
        self._empty_bytes = 0
        self._missing_body_bytes = 0
        self._lines = 0
        self._in_head = False
        self._in_body = False
        # Memory of the requests that wait or run.
        self._held_requests: dict[httptools_impl.RequestResponseCycle, int] = {}
        self._running: httptools_impl.RequestResponseCycle | None = None
        self._phase: _Phase | None = None
        self._phase_began_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts to account for the connection and to wait for a request.

        Closes the connection at once if there are as many as the process can serve.
        """
        super().connection_made(transport)
        self.flow = _Flow(transport, self._schedule_parsing)
        if not self._limits.admit(len(self.connections) - 1):
            transport.abort()
            return
        self._holding = self._account.open(self)
        self._update_timer(False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request in progress and releases what the connection holds."""
        if self._holding is not None:
            self._account.close(self._holding)
            self._holding = None
        self._stop_timer()
        self._unread_timer.stop()
        self._unset_keepalive_if_required()
        self._discard()
        super().connection_lost(exc)
        # Releases requests without the garbage collector.
        self.cycle = self.flow = None  # type: ignore[assignment]
        self.scope, self.headers = typing.cast(typing.Any, {}), []

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to receive into, which all connections share."""
        return self._account.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes until a request is complete."""
        data = self._account.read_buffer[:nbytes]
        # Bytes that were received while reading was being paused come after others.
        self._parse(self._unparsed + data if self._unparsed else data)

    def pause_writing(self) -> None:
        """Makes senders wait, and starts the timeout of a caller that doesn't read."""
        super().pause_writing()
        self._watch_unsent()

    def resume_writing(self) -> None:
        """Lets senders go on."""
        super().resume_writing()
        self._update_holding()

    def on_message_begin(self) -> None:
        """Resets the counts for a new request."""
        super().on_message_begin()
        self._in_head, self._in_body = True, False
        self._lines = self._empty_bytes = self._missing_body_bytes = 0
        # The timeouts of the request before don't apply to this one.
        self._phase = None

    def on_url(self, url: bytes) -> None:
        """Collects a part of the target.

        Raises:
            BeyondLimitError: It is too long.
        """
        super().on_url(url)
        if len(self.url) > MAX_TARGET_BYTES:
            self._account.record_refusal(memory.Cause.HEAD)
            raise BeyondLimitError

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; counts and drops a trailer.

        Raises:
            BeyondLimitError: There are too many.
        """
        self._lines += 1
        if self._lines > (MAX_TRAILER_LINES if self._in_body else MAX_LINES):
            self._account.record_refusal(
                memory.Cause.TRAILERS if self._in_body else memory.Cause.HEAD
            )
            raise BeyondLimitError
        if self._in_body:
            return
        if name.lower() == b"content-length" and value.isdigit():
            self._missing_body_bytes = int(value[:18])
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts to handle the request."""
        head_bytes = self._unusable_bytes + self._lines * LINE_BYTES
        self._in_head, self._in_body = False, True
        self._lines = self._unusable_bytes = 0
        super().on_headers_complete()
        if not self.cycle.response_complete:
            self._held_requests[self.cycle] = REQUEST_BYTES + head_bytes

    def on_body(self, body: bytes) -> None:
        """Passes a part of the body on."""
        self._unusable_bytes = 0
        self._missing_body_bytes = max(0, self._missing_body_bytes - len(body))
        if self.cycle in self._held_requests:
            self._held_requests[self.cycle] += BODY_FACTOR * len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the request."""
        self._in_body = False
        self._unusable_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Releases the request that was answered and goes on with the next one."""
        cycle, self._running = self._running, None
        if cycle is not None:
            self._held_requests.pop(cycle, None)
            cycle.body = bytearray()
            if cycle.scope is self.scope:
                self.scope, self.headers = typing.cast(typing.Any, {}), []
            cycle.scope = typing.cast(typing.Any, {"method": ""})
        super().on_response_complete()
        self._watch_unsent()
        self._schedule_parsing()

    def send_400_response(self, msg: str) -> None:
        """Answers an invalid request, unless the connection is being closed."""
        if not self.transport.is_closing():
            super().send_400_response(msg)

    def timeout_keep_alive_handler(self) -> None:
        """Closes a connection without requests."""
        super().timeout_keep_alive_handler()
        self._watch_unsent()

    def is_refusable(self) -> bool:
        """Returns whether nothing that it holds has begun to run."""
        if self._count_unsent():
            return False
        running = self._running
        return running is None or (
            running is self.cycle
            and self._in_body
            and not running.response_started
            and running.scope["path"].startswith(CALLER_PATHS)
        )

    def measure_memory(self) -> int:
        """Returns the memory that the connection holds, in bytes."""
        head_bytes = self._unusable_bytes + self._lines * LINE_BYTES
        return (
            len(self._unparsed)
            + (head_bytes if self._in_head else 0)
            + sum(self._held_requests.values())
            + self._count_unsent()
        )

    def release_memory(self) -> None:
        """Refuses what has not begun, or ends the connection."""
        if self.is_refusable() and not self.transport.is_closing():
            self._refuse_for_memory()
        else:
            self.transport.abort()

    def _start_asgi_task(
        self, cycle: httptools_impl.RequestResponseCycle, app: typing.Any
    ) -> None:
        self._running = cycle
        if self.transport.is_closing():
            self._discard()
        elif self._account.is_full:
            self._account.record_refusal(memory.Cause.NO_MEMORY)
            self._refuse_for_memory()
        else:
            super()._start_asgi_task(cycle, app)

    @property
    def _may_parse(self) -> bool:
        if self.parser is None or self.transport.is_closing() or self.flow.read_paused:
            return False
        return self._running is None or self._in_body

    def _parse(self, data: bytes | memoryview) -> None:
        """Parses a step of the data unless something has to be done first.

        The rest is parsed in later turns of the event loop: the parts of many bodies
        that are sent a byte at a time would delay all other callers for seconds.
        """
        end = len(data)
        start = 0
        if self._may_parse:
            start = min(end, max(STEP_BYTES, self._missing_body_bytes))
        # What a step parses is counted as a part of its request.
        self._unparsed = bytes(data[start:])
        if start:
            self._parse_step(data[:start])
        if self.parser is None or self.transport.is_closing():
            self._unparsed = b""
        elif start and self._unparsed and self._may_parse:
            self._schedule_parsing()
        if not (self._in_head or self._in_body):
            # Kept bytes pause reading, and with it the notice of a disconnect.
            self._unparsed = self._unparsed.lstrip(_LINE_ENDS)
        self._update_holding()
        if not self.transport.is_closing():
            self._update_reading()
            self._update_timer(end > 0)

    def _parse_step(self, data: bytes | memoryview) -> None:
        if not (self._in_head or self._in_body):
            self._empty_bytes += len(data) - len(bytes(data).lstrip(_LINE_ENDS))
        self._unusable_bytes += len(data)
        self.data_received(typing.cast(bytes, data))
        if self.transport.is_closing():
            self._discard()
            self._watch_unsent()
            return
        if self._unusable_bytes > MAX_BYTES:
            cause = memory.Cause.TRAILERS if self._in_body else memory.Cause.HEAD
            self._reject(cause, "The head or the trailers are too long.")
        elif self._empty_bytes > MAX_EMPTY_LINES * len(_LINE_ENDS):
            detail = "There are too many empty lines before a request."
            self._reject(memory.Cause.EMPTY_LINES, detail)
        self._update_holding()

    def _reject(self, cause: memory.Cause, detail: str) -> None:
        """Answers an invalid request with 400, or ends a connection with an answer."""
        self._account.record_refusal(cause)
        if self.is_refusable():
            self.send_400_response(detail)
            self._watch_unsent()
            self._discard()
        else:
            self.transport.abort()

    def _schedule_parsing(self) -> None:
        self.loop.call_soon(self._continue_parsing)

    def _continue_parsing(self) -> None:
        if self.parser is not None and not self.transport.is_closing():
            self._parse(self._unparsed)

    def _update_reading(self) -> None:
        if self._unparsed or self.flow.read_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _update_holding(self) -> None:
        if self._holding is None:
            return
        self._holding.update(self.measure_memory())
        if self._account.is_full:
            self._account.relieve()

    def _refuse_for_memory(self) -> None:
        detail = "no memory for more requests"
        self._refuse(503, "No memory", detail, NO_MEMORY_RETRY_MS)

    def _refuse(
        self, status: int, title: str, detail: str, retry_after_ms: int | None = None
    ) -> None:
        """Answers a request that hasn't begun to run, and closes the connection."""
        has_answer = self._running is None and self._in_body
        self._discard()
        if not has_answer:
            problem = outcomes.Problem(
                status,
                title,
                detail,
                outcomes.Outcome.NOT_RUN,
                "intake",
                self._limits.instance,
                retry_after_ms,
            )
            body, headers = problems.render_problem(
                problem, secrets.token_hex(16), self._limits.instance
            )
            headers.append((b"connection", b"close"))
            lines = [b"%b: %b\r\n" % header for header in headers]
            self.transport.write(
                httptools_impl.STATUS_LINE[status] + b"".join(lines) + b"\r\n" + body
            )
        self.transport.close()
        self._watch_unsent()

    def _discard(self) -> None:
        """Ends all requests; none of them sends anything after this."""
        self._unparsed = self.url = b""
        # Released at once: the connection is lost only after others have received.
        if self._in_head or self._in_body:
            self.headers = []
            self.scope["headers"] = []
        cycles = set(self._held_requests)
        if self._running is not None:
            cycles.add(self._running)
        for cycle in cycles:
            if cycle is not self._running or self._in_body:
                cycle.scope["headers"] = []
            cycle.disconnected = cycle.response_complete = True
            cycle.body = bytearray()
            cycle.message_event.set()
            cycle.on_response = _ignore
        self._in_head = False
        self._held_requests.clear()
        self.pipeline.clear()

    def _count_unsent(self) -> int:
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def _watch_unsent(self) -> None:
        """Starts the timeout of a caller that doesn't read, if it leaves something."""
        if unsent_bytes := self._count_unsent():
            self._unread_timer.record_write(unsent_bytes)
        self._update_holding()

    def _on_unread(self) -> None:
        self._account.record_refusal(memory.Cause.UNREAD)
        self.transport.abort()

    def _determine_phase(self) -> _Phase:
        if self._in_body and self._running in (None, self.cycle):
            return _Phase.BODY
        if self._running is not None:
            return _Phase.ANSWER
        if self._in_head or self._empty_bytes:
            return _Phase.HEAD
        return _Phase.IDLE

    def _update_timer(self, has_received: bool) -> None:
        """Starts the timeout for what the caller has to send next.

        Further parts of a head don't extend its timeout; those of a body do, up to
        that of the whole body.
        """
        phase = self._determine_phase()
        now = self.loop.time()
        if phase is not self._phase:
            self._phase, self._phase_began_at = phase, now
        elif phase is not _Phase.BODY or not has_received:
            return
        self._stop_timer()
        timeouts = self._limits.timeouts
        match phase:
            case _Phase.IDLE:
                delay_s = timeouts.idle_s
            case _Phase.HEAD:
                delay_s = timeouts.head_s
            case _Phase.BODY:
                left_s = self._phase_began_at + timeouts.body_s - now
                delay_s = min(timeouts.body_stall_s, max(0.0, left_s))
            case _Phase.ANSWER:
                return
        self._timer = self.loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self.transport.is_closing():
            return
        if self._phase is _Phase.IDLE:
            self.timeout_keep_alive_handler()
            return
        self._account.record_refusal(memory.Cause.SLOW)
        if self.is_refusable():
            self._refuse(408, "Too slow", "the request did not arrive in time")
        else:
            self.transport.abort()


def _ignore() -> None:
    """Does nothing once an answer is complete."""
