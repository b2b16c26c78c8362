"""Heads of HTTP requests and answers, and their encoding."""

from __future__ import annotations

import dataclasses
import http

Header = tuple[bytes, bytes]

# Hop-by-hop headers (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_BODILESS_STATUSES = frozenset({204, 304})
# Maximum number of digits of a number in a header.
MAX_DIGITS = 18


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request.

    Attributes:
        method: Method, in upper case.
        target: Path and query as sent by the caller.
        headers: Headers in order, with names as sent.
        keep_alive: Whether the caller keeps the connection open for more requests.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    keep_alive: bool

    @property
    def path(self) -> bytes:
        """Path without the query."""
        return self.target.partition(b"?")[0]

    @property
    def query(self) -> bytes:
        """Query without the question mark."""
        return self.target.partition(b"?")[2]

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; `name` must be in lower case."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        head: Its head.
        body: Its body, without chunks' sizes.
        held_bytes: Memory that it holds, in bytes.
    """

    head: RequestHead
    body: bytes
    held_bytes: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an answer.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Headers in order.
        ends_at_close: Whether the body ends only when the connection closes.
        keep_alive: Whether the connection can be reused for another request.
        held_bytes: Memory that it holds, in bytes.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    ends_at_close: bool
    keep_alive: bool
    held_bytes: int = dataclasses.field(default=0, compare=False)

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; `name` must be in lower case."""
        return find_header(self.headers, name)


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Returns the first value of a header; `name` must be in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def parse_whole_number(value: bytes) -> int | None:
    """Returns a whole number from a header; None if the value is none or too long."""
    digits = value.strip()
    return int(digits) if digits.isdigit() and len(digits) <= MAX_DIGITS else None


def strip_connection_headers(headers: tuple[Header, ...]) -> list[Header]:
    """Returns the headers to forward: all but the hop-by-hop ones.

    Headers named by a `Connection` header are hop-by-hop as well.
    """
    listed = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP_HEADERS | listed
    return [header for header in headers if header[0].lower() not in dropped]


def has_body(status: int) -> bool:
    """Returns whether an answer with this status has a body."""
    return status >= 200 and status not in _BODILESS_STATUSES


def encode_request(method: bytes, target: bytes, headers: list[Header]) -> bytes:
    """Encodes the head of a request."""
    return _encode(b"%s %s HTTP/1.1" % (method, target), headers)


def encode_answer(status: int, reason: bytes, headers: list[Header]) -> bytes:
    """Encodes the head of an answer."""
    return _encode(b"HTTP/1.1 %d %s" % (status, reason), headers)


def get_reason_phrase(status: int) -> bytes:
    """Returns the standard reason phrase of a status code."""
    return http.HTTPStatus(status).phrase.encode()


def _encode(start_line: bytes, headers: list[Header]) -> bytes:
    lines = [start_line, *(b"%s: %s" % header for header in headers), b"", b""]
    return b"\r\n".join(lines)
