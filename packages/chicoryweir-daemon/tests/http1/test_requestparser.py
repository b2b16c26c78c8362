"""Requests of callers, good and bad."""

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import requestparser

PLAIN = b"POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)


def _parse(data, pieces=(), head=1000, body=1000):
    parser = requestparser.RequestParser(head, body)
    events = []
    start = 0
    for end in [*sorted(pieces), len(data)]:
        events += parser.feed(data[start:end])
        start = max(start, end)
    return events


@pytest.mark.parametrize("data", [PLAIN, CHUNKED])
def test_body_is_whole_whatever_its_framing(data):
    (request,) = _parse(data)
    assert isinstance(request, heads.Request)
    assert request.body == b"hello"
    assert request.head.method == b"POST"


@hypothesis.given(strategies.sets(strategies.integers(0, len(PLAIN + CHUNKED))))
def test_requests_are_the_same_however_the_bytes_are_cut(pieces):
    found = _parse(PLAIN + CHUNKED, pieces)
    assert [request.body for request in found] == [b"hello", b"hello"]


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
def test_bad_input_is_rejected_with_its_status(data, status):
    (event,) = _parse(data)
    assert isinstance(event, requestparser.Rejected)
    assert event.status == status


def test_chunked_body_that_grows_too_long_is_rejected():
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    events = _parse(head + b"400\r\n" + b"x" * 1024 + b"\r\n")
    assert events == [requestparser.Rejected(413, "the body is longer than 1000 bytes")]


def test_nothing_is_served_after_a_rejection():
    parser = requestparser.RequestParser(1000, 1000)
    parser.feed(b"\x00\r\n\r\n")
    assert parser.feed(PLAIN) == []


def test_caller_that_waits_for_a_word_before_the_body_gets_it():
    head = b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    (event,) = _parse(head + b"Content-Length: 1\r\n\r\n")
    assert isinstance(event, requestparser.ContinueExpected)


def test_headers_of_one_connection_are_not_passed_on():
    headers = (
        (b"Connection", b"close, X-Own"),
        (b"X-Own", b"1"),
        (b"Keep-Alive", b"timeout=3"),
        (b"X-Kept", b"2"),
    )
    assert heads.strip_connection_headers(headers) == [(b"X-Kept", b"2")]
