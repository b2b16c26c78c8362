"""Parses the answers received on a connection to an endpoint."""

from __future__ import annotations

import dataclasses

import httptools

from chicoryweir_daemon.http1 import heads

# Maximum number of bytes in a row that are neither body nor the end of a head: heads,
# interim answers and trailers. Endpoints send heads of some hundred bytes.
MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End of a complete answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The answer is truncated or invalid; `detail` gives the reason."""

    detail: str


Event = heads.AnswerHead | BodyPart | End | Broken


class AnswerParser:
    """Parses bytes into the heads, body parts and ends of answers.

    An endpoint may send more answers than it received requests. All are returned; the
    reader matches them to its request by the identifiers that they echo.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._events: list[Event] = []
        self._in_answer = False
        self._ends_at_close = False
        self._is_interim = False
        self._broken = False
        self._head_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether the parser is between answers and has found no error."""
        return not self._in_answer and not self._broken

    def feed(self, data: bytes) -> list[Event]:
        """Parses bytes and returns the resulting events; none after `Broken`."""
        self._events = []
        if self._broken:
            return []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the endpoint switched protocols")
        except httptools.HttpParserError as error:
            self._fail(f"not a valid answer: {error}")
        self._head_bytes = 0 if self._events else self._head_bytes + len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(f"over {MAX_HEAD_BYTES} bytes without a complete head")
        return self._events

    def feed_eof(self, clean: bool) -> list[Event]:
        """Handles the end of the connection and returns the resulting events.

        Args:
            clean: Whether the connection ended without an error. Only then is an answer
                without a length complete.
        """
        self._events = []
        if self._broken:
            return []
        if self._in_answer and self._ends_at_close and clean:
            self._in_answer = False
            self._events.append(End())
        elif self._in_answer:
            self._fail("the connection ended within the answer")
        return self._events

    def on_message_begin(self) -> None:
        """Resets the state for a new answer."""
        self._in_answer = True
        self._ends_at_close = False
        self._is_interim = False
        self._reason = b""
        self._headers: list[heads.Header] = []

    def on_status(self, status: bytes) -> None:
        """Collects a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Emits the head, unless the answer is an interim one (1xx)."""
        status = self._parser.get_status_code()
        if status < 200:
            self._is_interim = True
            return
        headers = tuple(self._headers)
        has_framing = (
            heads.find_header(headers, b"content-length") is not None
            or heads.find_header(headers, b"transfer-encoding") is not None
        )
        self._ends_at_close = not has_framing and heads.has_body(status)
        keep_alive = self._parser.should_keep_alive() and not self._ends_at_close
        head = heads.AnswerHead(
            status, self._reason, headers, self._ends_at_close, keep_alive
        )
        self._events.append(head)

    def on_body(self, body: bytes) -> None:
        """Emits a part of the body."""
        self._events.append(BodyPart(body))

    def on_message_complete(self) -> None:
        """Emits the end of the answer, unless it is an interim one."""
        self._in_answer = False
        if not self._is_interim:
            self._events.append(End())

    def _fail(self, detail: str) -> None:
        self._broken = True
        self._in_answer = False
        self._events.append(Broken(detail))
