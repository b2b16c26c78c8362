"""Parses the answers received on a connection to an endpoint."""

from __future__ import annotations

import dataclasses

import httptools

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory

# Maximum number of bytes in a row that are neither body nor the end of a head: heads,
# interim answers and trailers. Endpoints send heads of some hundred bytes.
MAX_HEAD_BYTES = 65_536
# Maximum number of bytes that are parsed at once.
STEP_BYTES = 16_384
# Statuses of answers; an endpoint that fails may send others.
MIN_STATUS = 100
MAX_STATUS = 599
_SWITCHING_PROTOCOLS = 101


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End of a complete answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The answer is truncated or invalid.

    Attributes:
        detail: The reason.
        is_beyond_limit: Whether it is larger than a limit allows.
    """

    detail: str
    is_beyond_limit: bool = dataclasses.field(default=False, compare=False)


Event = heads.AnswerHead | BodyPart | End | Broken


class _BrokenError(Exception):
    """Ends parsing once an answer is broken."""


class AnswerParser:
    """Parses bytes into the heads, body parts and ends of answers.

    An endpoint may send more answers than it received requests. All are returned; the
    reader matches them to its request by the identifiers that they echo.
    """

    def __init__(self, received: limits.ReceivedLimits = limits.DEFAULT) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._received = received
        self._events: list[Event] = []
        self._body: list[bytes] = []
        self._headers: list[heads.Header] = []
        self._in_answer = False
        self._in_body = False
        self._ends_at_close = False
        self._is_interim = False
        self._broken = False
        self._head_bytes = 0
        self._lines = 0
        self._trailer_bytes = 0
        self._interim_answers = 0

    @property
    def is_idle(self) -> bool:
        """Whether the parser is between answers and has found no error."""
        return not self._in_answer and not self._broken

    @property
    def held_bytes(self) -> int:
        """Memory held by a head or trailers that aren't complete, in bytes."""
        return self._head_bytes + len(self._headers) * memory.HEADER_BYTES

    def feed(self, data: bytes | memoryview) -> list[Event]:
        """Parses bytes and returns the resulting events; none after `Broken`.

        Args:
            data: At most `STEP_BYTES` bytes, so that no more than that is held before
                the limits are checked.
        """
        if self._broken:
            return []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the endpoint switched protocols")
        except httptools.HttpParserError as error:
            self._fail(f"not a valid answer: {error}")
        self._flush_body()
        self._head_bytes = 0 if self._events else self._head_bytes + len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            detail = f"over {MAX_HEAD_BYTES} bytes without a complete head"
            self._fail(detail, is_beyond_limit=True)
        return self._take_events()

    def feed_eof(self, clean: bool) -> list[Event]:
        """Handles the end of the connection and returns the resulting events.

        Args:
            clean: Whether the connection ended without an error. Only then is an answer
                without a length complete.
        """
        if self._broken:
            return []
        if self._in_answer and self._ends_at_close and clean:
            self._in_answer = False
            self._events.append(End())
        elif self._in_answer:
            self._fail("the connection ended within the answer")
        return self._take_events()

    def on_message_begin(self) -> None:
        """Resets the state for a new answer."""
        self._in_answer = True
        self._in_body = False
        self._ends_at_close = False
        self._is_interim = False
        self._reason = b""
        self._headers = []
        self._lines = 0
        self._trailer_bytes = 0

    def on_status(self, status: bytes) -> None:
        """Collects a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; counts and drops a trailer."""
        self._lines += 1
        if not self._in_body:
            self._headers.append((name, value))
            if self._lines > self._received.max_answer_lines:
                self._break("a head of too many lines", is_beyond_limit=True)
            return
        self._trailer_bytes += len(name) + len(value)
        if (
            self._lines > self._received.max_trailer_lines
            or self._trailer_bytes > self._received.max_trailer_bytes
        ):
            self._break("too many trailers", is_beyond_limit=True)

    def on_headers_complete(self) -> None:
        """Emits the head, unless the answer is an interim one (1xx)."""
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        self._lines = 0
        self._in_body = True
        length = heads.find_header(headers, b"content-length")
        coding = heads.find_header(headers, b"transfer-encoding")
        if not MIN_STATUS <= status <= MAX_STATUS or status == _SWITCHING_PROTOCOLS:
            self._break(f"status {status:03}")
        if status < 200:
            if coding is not None or (length or b"0").strip(b"0"):
                self._break(f"an interim answer with a body, status {status}")
            self._interim_answers += 1
            if self._interim_answers > self._received.max_interim_answers:
                self._break("too many interim answers", is_beyond_limit=True)
            self._is_interim = True
            return
        self._interim_answers = 0
        has_framing = length is not None or coding is not None
        self._ends_at_close = not has_framing and heads.has_body(status)
        keep_alive = self._parser.should_keep_alive() and not self._ends_at_close
        self._events.append(
            heads.AnswerHead(
                status,
                self._reason,
                headers,
                self._ends_at_close,
                keep_alive,
                memory.MESSAGE_BYTES + memory.measure_headers(headers),
            )
        )

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body; those received together are emitted as one."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Emits the end of the answer, unless it is an interim one."""
        self._in_answer = False
        if not self._is_interim:
            self._flush_body()
            self._events.append(End())

    def _take_events(self) -> list[Event]:
        """Returns the new events; the parser keeps none, and no memory of them."""
        events, self._events = self._events, []
        return events

    def _flush_body(self) -> None:
        if self._body:
            self._events.append(BodyPart(b"".join(self._body)))
            self._body = []

    def _break(self, detail: str, is_beyond_limit: bool = False) -> None:
        """Breaks the answer off within a callback of the parser.

        Raises:
            _BrokenError: Always.
        """
        self._fail(f"not a valid answer: {detail}", is_beyond_limit)
        raise _BrokenError

    def _fail(self, detail: str, is_beyond_limit: bool = False) -> None:
        if self._broken:
            return
        self._flush_body()
        self._broken = True
        self._in_answer = False
        self._headers = []
        self._events.append(Broken(detail, is_beyond_limit))
