"""Parses the requests received on a caller's connection."""

from __future__ import annotations

import dataclasses

import httptools

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory

# Maximum number of bytes that are parsed at once, other than of a body of known length.
# What they contain is held before the next limit check.
STEP_BYTES = 4_096
_LINE_ENDS = b"\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """An invalid or oversized request.

    The connection is closed after an answer with `status`.
    """

    status: int
    detail: str
    cause: memory.Cause | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class ContinueExpected:
    """The caller waits for a 100 (Continue) answer before it sends the body."""


Event = heads.Request | ContinueExpected | Rejected


class _RejectedError(Exception):
    """Ends parsing once a request is rejected."""


class RequestParser:
    """Parses bytes into complete requests and enforces the size limits.

    Attributes:
        in_head: Whether a head has begun and isn't complete.
        in_body: Whether a body isn't complete.
    """

    def __init__(
        self,
        max_head_bytes: int,
        max_body_bytes: int,
        received: limits.ReceivedLimits = limits.DEFAULT,
    ) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._max_lines = received.compute_max_lines(max_head_bytes)
        self._received = received
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        self._failed = False
        self._empty_bytes = 0
        self._begins_with_head = False
        self.in_head = False
        self.in_body = False
        self._reset()

    def _reset(self) -> None:
        self._target = bytearray()
        self._headers: list[heads.Header] = []
        self._body = bytearray()
        self._head: heads.RequestHead | None = None
        self._parsed_head_bytes = 0
        self._received_head_bytes = 0
        self._missing_body_bytes = 0
        # Bytes in a row within a body that are not part of it: chunks' sizes, trailers.
        self._framing_bytes = 0
        self._trailer_lines = 0
        self._trailer_bytes = 0
        self._empty_bytes = 0

    @property
    def step_bytes(self) -> int:
        """Number of bytes that may be fed at once without holding too much."""
        return max(STEP_BYTES, self._missing_body_bytes)

    @property
    def held_bytes(self) -> int:
        """Memory held by the request that isn't complete, in bytes."""
        if not (self.in_head or self.in_body):
            return 0
        head_bytes = max(self._received_head_bytes, self._parsed_head_bytes)
        lines_bytes = len(self._headers) * memory.HEADER_BYTES
        return head_bytes + lines_bytes + len(self._body) + self._framing_bytes

    def discard(self) -> None:
        """Discards the request that isn't complete, and all later bytes."""
        self._failed = True
        self.in_head = self.in_body = False
        self._reset()

    def feed(self, data: bytes | memoryview) -> list[Event]:
        """Parses bytes and returns the resulting events; none after `Rejected`.

        Args:
            data: At most `step_bytes` bytes.
        """
        if not (self.in_head or self.in_body):
            data = self._skip_empty_lines(data)
        if self._failed or not data:
            return self._take_events()
        self._begins_with_head = not self.in_body
        if self.in_body:
            self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "the request asks for another protocol")
        except httptools.HttpParserError as error:
            self._reject(400, f"the request is not valid HTTP/1.1: {error}")
        if self.in_head and self._begins_with_head:
            self._received_head_bytes += len(data)
            if self._received_head_bytes > self._max_head_bytes:
                self._reject_head()
        elif self._framing_bytes > self._received.max_trailer_bytes + STEP_BYTES:
            self._reject_trailers()
        return self._take_events()

    def on_message_begin(self) -> None:
        """Marks the begin of a head."""
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Collects a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; counts and drops a trailer."""
        if self._head is not None:
            self._trailer_lines += 1
            self._trailer_bytes += len(name) + len(value) + 3
            if (
                self._trailer_lines > self._received.max_trailer_lines
                or self._trailer_bytes > self._received.max_trailer_bytes
            ):
                self._reject_trailers()
                raise _RejectedError
            return
        self._headers.append((name, value))
        self._parsed_head_bytes += len(name) + len(value) + 3
        if len(self._headers) > self._max_lines:
            self._reject_head()
            raise _RejectedError

    def on_headers_complete(self) -> None:
        """Checks the size limits and the `Expect` header once the head is complete."""
        self.in_head, self.in_body = False, True
        if self._parsed_head_bytes + len(self._target) > self._max_head_bytes:
            self._reject_head()
            raise _RejectedError
        self._head = heads.RequestHead(
            self._parser.get_method().upper(),
            bytes(self._target),
            tuple(self._headers),
            self._parser.should_keep_alive(),
        )
        length = self._head.find(b"content-length")
        if length is not None:
            self._missing_body_bytes = int(length)
        if self._missing_body_bytes > self._max_body_bytes:
            self._reject_body()
            raise _RejectedError
        if (self._head.find(b"expect") or b"").lower() == b"100-continue":
            self._events.append(ContinueExpected())

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._body += body
        self._framing_bytes = 0
        self._missing_body_bytes = max(0, self._missing_body_bytes - len(body))
        if len(self._body) > self._max_body_bytes:
            self._reject_body()
            raise _RejectedError

    def on_message_complete(self) -> None:
        """Emits the complete request."""
        self.in_body = False
        # What follows in the same part belongs to another request.
        self._begins_with_head = False
        if self._failed:
            return
        assert self._head is not None
        held_bytes = (
            memory.MESSAGE_BYTES
            + self._parsed_head_bytes
            + len(self._headers) * memory.HEADER_BYTES
            + len(self._body)
        )
        self._events.append(heads.Request(self._head, bytes(self._body), held_bytes))
        self._reset()

    def _take_events(self) -> list[Event]:
        """Returns the new events; the parser keeps none, and no memory of them."""
        events, self._events = self._events, []
        return events

    def _skip_empty_lines(self, data: bytes | memoryview) -> bytes | memoryview:
        """Returns the data without empty lines before a request."""
        if not data or data[0] not in _LINE_ENDS:
            return data
        rest = bytes(data).lstrip(_LINE_ENDS)
        self._empty_bytes += len(data) - len(rest)
        if self._empty_bytes > len(_LINE_ENDS) * self._received.max_empty_lines:
            detail = "too many empty lines before a request"
            self._reject(400, detail, memory.Cause.EMPTY_LINES)
        return rest

    def _reject_head(self) -> None:
        detail = f"the head is longer than {self._max_head_bytes} bytes"
        if len(self._headers) > self._max_lines:
            detail = f"the head has more than {self._max_lines} lines"
        self._reject(431, detail, memory.Cause.HEAD)

    def _reject_trailers(self) -> None:
        detail = "the trailers or the sizes of chunks are too long"
        self._reject(431, detail, memory.Cause.TRAILERS)

    def _reject_body(self) -> None:
        detail = f"the body is longer than {self._max_body_bytes} bytes"
        self._reject(413, detail, memory.Cause.BODY)

    def _reject(
        self, status: int, detail: str, cause: memory.Cause | None = None
    ) -> None:
        if not self._failed:
            self._events.append(Rejected(status, detail, cause))
            self.discard()
