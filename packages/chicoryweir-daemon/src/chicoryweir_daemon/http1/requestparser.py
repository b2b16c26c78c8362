"""Parses the requests received on a caller's connection."""

from __future__ import annotations

import dataclasses

import httptools

from chicoryweir_daemon.http1 import heads


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """An invalid or oversized request.

    The connection is closed after an answer with `status`.
    """

    status: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ContinueExpected:
    """The caller waits for a 100 (Continue) answer before it sends the body."""


Event = heads.Request | ContinueExpected | Rejected


class RequestParser:
    """Parses bytes into complete requests and enforces the size limits."""

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        self._failed = False
        self._received_head_bytes = 0
        self._target = bytearray()
        self._headers: list[heads.Header] = []
        self._body = bytearray()
        self._head: heads.RequestHead | None = None
        self._parsed_head_bytes = 0
        self.in_head = False
        self.in_body = False

    def feed(self, data: bytes) -> list[Event]:
        """Parses bytes and returns the resulting events; none after `Rejected`."""
        self._events = []
        if self._failed:
            return []
        if not self.in_body:
            self._received_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "the request asks for another protocol")
        except httptools.HttpParserError as error:
            self._reject(400, f"the request is not valid HTTP/1.1: {error}")
        if self.in_head and self._received_head_bytes > self._max_head_bytes:
            self._reject(431, f"the head is longer than {self._max_head_bytes} bytes")
        return self._events

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self._reset()
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Collects a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name, value))
        self._parsed_head_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Checks the size limits and the `Expect` header once the head is complete."""
        self.in_head, self.in_body = False, True
        if self._parsed_head_bytes + len(self._target) > self._max_head_bytes:
            self._reject(431, f"the head is longer than {self._max_head_bytes} bytes")
            return
        self._head = heads.RequestHead(
            self._parser.get_method().upper(),
            bytes(self._target),
            tuple(self._headers),
            self._parser.should_keep_alive(),
        )
        length = self._head.find(b"content-length")
        if length is not None and int(length) > self._max_body_bytes:
            self._reject(413, f"the body is longer than {self._max_body_bytes} bytes")
        elif (self._head.find(b"expect") or b"").lower() == b"100-continue":
            self._events.append(ContinueExpected())

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._body += body
        if len(self._body) > self._max_body_bytes:
            self._reject(413, f"the body is longer than {self._max_body_bytes} bytes")

    def on_message_complete(self) -> None:
        """Emits the complete request."""
        self.in_body = False
        self._received_head_bytes = 0
        if self._failed:
            return
        assert self._head is not None
        self._events.append(heads.Request(self._head, bytes(self._body)))

    def _reset(self) -> None:
        self._target.clear()
        self._headers.clear()
        self._body.clear()
        self._head = None
        self._parsed_head_bytes = 0

    def _reject(self, status: int, detail: str) -> None:
        if not self._failed:
            self._failed = True
            self._events.append(Rejected(status, detail))
