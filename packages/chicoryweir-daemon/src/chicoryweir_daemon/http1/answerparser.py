"""Parses the answers on one connection to an endpoint."""

from __future__ import annotations

import dataclasses

import httptools

from chicoryweir_daemon.http1 import heads


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """A part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The answer is whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The answer can't be completed; `detail` tells why."""

    detail: str


Event = heads.AnswerHead | Body | End | Broken


class AnswerParser:
    """Turns bytes into the parts of answers.

    An endpoint may send more answers than it got requests; each is delivered, so
    that the reader can tell them apart by what they echo.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._events: list[Event] = []
        self._open = False
        self._until_close = False
        self._skipped = False
        self._broken = False

    @property
    def is_idle(self) -> bool:
        """Whether no answer has begun that hasn't ended."""
        return not self._open and not self._broken

    def feed(self, data: bytes) -> list[Event]:
        """Returns what the bytes complete."""
        self._events = []
        if self._broken:
            return []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break("the endpoint switched protocols")
        except httptools.HttpParserError as error:
            self._break(f"not a valid answer: {error}")
        return self._events

    def feed_eof(self, clean: bool) -> list[Event]:
        """Takes the end of the connection; `clean` when the peer closed it."""
        self._events = []
        if self._broken:
            return []
        if self._open and self._until_close and clean:
            self._open = False
            self._events.append(End())
        elif self._open:
            self._break("the connection ended within the answer")
        return self._events

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._open = True
        self._until_close = False
        self._skipped = False
        self._reason = b""
        self._headers: list[heads.Header] = []

    def on_status(self, status: bytes) -> None:
        """Takes the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Takes the end of the head."""
        status = self._parser.get_status_code()
        if status < 200:
            self._skipped = True
            return
        headers = tuple(self._headers)
        framed = (
            heads.find_header(headers, b"content-length") is not None
            or heads.find_header(headers, b"transfer-encoding") is not None
        )
        self._until_close = not framed and heads.has_body(status)
        keep_alive = self._parser.should_keep_alive() and not self._until_close
        head = heads.AnswerHead(
            status, self._reason, headers, self._until_close, keep_alive
        )
        self._events.append(head)

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._events.append(Body(body))

    def on_message_complete(self) -> None:
        """Takes the end of an answer."""
        self._open = False
        if not self._skipped:
            self._events.append(End())

    def _break(self, detail: str) -> None:
        self._broken = True
        self._open = False
        self._events.append(Broken(detail))
