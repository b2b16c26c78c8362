"""Tests of parsing valid and invalid requests of callers."""

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser

WITH_LENGTH = b"POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)


def _parse(data, cuts=(), max_head_bytes=1000, max_body_bytes=1000):
    parser = requestparser.RequestParser(max_head_bytes, max_body_bytes)
    events = []
    start = 0
    for end in [*sorted(cuts), len(data)]:
        events += parser.feed(data[start:end])
        start = max(start, end)
    return events


@pytest.mark.parametrize("data", [WITH_LENGTH, CHUNKED])
def test_body_is_complete_with_either_framing(data):
    (request,) = _parse(data)
    assert isinstance(request, heads.Request)
    assert request.body == b"hello"
    assert request.head.method == b"POST"


@hypothesis.given(strategies.sets(strategies.integers(0, len(WITH_LENGTH + CHUNKED))))
def test_requests_do_not_depend_on_how_the_bytes_are_split(cuts):
    requests = _parse(WITH_LENGTH + CHUNKED, cuts)
    assert [request.body for request in requests] == [b"hello", b"hello"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 2000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 2000, 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nhello",
            400,
        ),
        (b"\x00\x01nonsense\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n", 400),
    ],
)
def test_invalid_request_is_rejected_with_its_status(data, status):
    (event,) = _parse(data)
    assert isinstance(event, requestparser.Rejected)
    assert event.status == status


def test_chunked_body_over_the_limit_is_rejected():
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    events = _parse(head + b"400\r\n" + b"x" * 1024 + b"\r\n")
    assert events == [requestparser.Rejected(413, "the body is longer than 1000 bytes")]


def test_parser_ignores_requests_after_a_rejection():
    parser = requestparser.RequestParser(1000, 1000)
    parser.feed(b"\x00\r\n\r\n")
    assert parser.feed(WITH_LENGTH) == []


def test_expect_100_continue_is_reported_before_the_body():
    head = b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    (event,) = _parse(head + b"Content-Length: 1\r\n\r\n")
    assert isinstance(event, requestparser.ContinueExpected)


def test_hop_by_hop_headers_are_stripped():
    headers = (
        (b"Connection", b"close, X-Own"),
        (b"X-Own", b"1"),
        (b"Keep-Alive", b"timeout=3"),
        (b"X-Kept", b"2"),
    )
    assert heads.strip_connection_headers(headers) == [(b"X-Kept", b"2")]


# Guards against bytes without end that aren't part of a head or a body.
@pytest.mark.parametrize(
    ("start", "part", "allowed", "status"),
    [
        (b"", b"\r\n", 64, 400),
        (CHUNKED[:-2], b"a:\r\n", 64, 431),
        (CHUNKED[:-2], b"a: " + b"b" * 1000 + b"\r\n", 8, 431),
        (CHUNKED[:-5] + b"1;", b"b" * 1000, 8, 431),
    ],
)
def test_bytes_beside_requests_are_bounded(start, part, allowed, status):
    parser = requestparser.RequestParser(1000, 1000)
    events = [e for data in (start, *[part] * allowed) for e in parser.feed(data)]
    assert events == []
    events = [e for data in [part] * 20 for e in parser.feed(data)]
    assert [event.status for event in events] == [status]


def test_trailers_within_the_limits_are_dropped():
    (request,) = _parse(CHUNKED[:-2] + b"X-Trailer: 1\r\n\r\n")
    assert request.body == b"hello"
    assert request.head.find(b"x-trailer") is None


# Guards against a limit that counts more than was sent.
def test_head_of_the_largest_size_is_accepted():
    head = b"GET / HTTP/1.1\r\n"
    head += b"a:\r\n" * ((1000 - len(head) - 2) // 4) + b"\r\n"
    for cuts in ((), (500,), (10, 999)):
        (request,) = _parse(b"\r\n" + head + head, cuts, max_head_bytes=len(head))[:1]
        assert len(request.head.headers) == 245
