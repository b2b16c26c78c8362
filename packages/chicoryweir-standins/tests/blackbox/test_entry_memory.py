"""Tests of the memory and descriptors of an entry that clients try to use up.

The crowd and the bounds were fixed before the entry accounted for what it holds.
"""

import entryplays
import memoryplays
import pytest
import pytest_asyncio

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("memory plays")]

SHORT_LINE = b"a:\r\n"
# Lines with different names, which also take memory once they are decoded.
LINES = b"".join(b"%x:\r\n" % number for number in range(10_000))
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 1 << 20
SILENT_CALLERS = 500

# Beginning, repeated part, and whether the client reads. POST and GET stand for request
# lines with the headers of an authorized caller.
POST, GET = b"<POST>", b"<GET>"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
LONG_BODY = b"Content-Length: 1000000\r\n\r\n" + b"b" * 990_000
CALLERS = {
    "short lines and a body that stalls": [
        POST + SHORT_LINE * 3_900 + b"Content-Length: 65536\r\n\r\n" + b"b" * 65_000
    ],
    "different lines that stall": [POST + LINES],
    "body that stalls": [POST + LONG_BODY],
    "body that stalls without a key": [b"POST /v1/x HTTP/1.1\r\n" + LONG_BODY],
    "body that stalls at an operation": [b"GET /readyz HTTP/1.1\r\n" + LONG_BODY],
    "head over the limit": [POST + SHORT_LINE * 15_000 + b"\r\n"],
    "head without end": [POST, SHORT_LINE],
    "line without end": [POST + b"a: ", b"a"],
    "target without end": [b"GET /", b"a"],
    "empty lines": [b"", b"\r\n"],
    "trailers": [POST + CHUNKED + b"0\r\n", SHORT_LINE],
    "chunk extensions": [POST + CHUNKED + b"1;", b"a"],
    "small chunks": [POST + CHUNKED, b"1\r\na\r\n"],
    "pipelined heads": [b"", GET + b"\r\n"],
    "shortest pipelined heads": [b"", b"GET / HTTP/1.1\r\n\r\n"],
    "pipelined heads of short lines": [b"", GET + SHORT_LINE * 3_900 + b"\r\n"],
    "pipelined bodies": [b"", POST + LONG_BODY + b"b" * 10_000],
    "answers not read": [b"", GET[:-1] + b"/" + b"a" * 15_000 + b">\r\n", False],
    "metrics not read": [b"", b"GET /metrics HTTP/1.1\r\n\r\n", False],
}


@pytest_asyncio.fixture
async def subject():
    """Starts a fleet; it ends after the test."""
    started = entryplays.Subject()
    try:
        await started.start()
        yield started
    finally:
        await started.end()


def _create_client(subject, start, part=b"", reads=True):
    """Returns a client whose placeholders are replaced by request lines."""
    path = entryplays.SERVICE_PATH.encode()

    def fill(data):
        long_target = b"<GET/" + b"a" * 15_000 + b">"
        for text, method, rest in (
            (POST, b"POST", b""),
            (GET, b"GET", b""),
            (long_target, b"GET", b"a" * 15_000),
        ):
            line = b"%s %s%s HTTP/1.1\r\n" % (method, path, rest)
            data = data.replace(text, line + subject.headers)
        return data

    return memoryplays.Client(fill(start), fill(part), reads)


def _check(subject):
    summary = f"{subject.max_memory_mb:.1f} MB, {subject.max_descriptors} descriptors"
    assert subject.is_running, f"ended after {summary}; {subject.read_log()[-3:]}"
    assert subject.max_memory_mb < entryplays.MEMORY_MB, summary
    assert subject.max_descriptors < memoryplays.MAX_DESCRIPTORS, summary
    print(summary)


# Guards against callers that use up the memory of an entry.
@pytest.mark.parametrize("kind", CALLERS)
async def test_entry_survives_callers(subject, kind):
    clients = [_create_client(subject, *CALLERS[kind])] * memoryplays.CALLERS
    await subject.play(clients, subject.port)
    _check(subject)


# Guards against connections without a request that use up the descriptors of an entry.
@pytest.mark.parametrize("start", [b"", POST])
async def test_entry_survives_connections_that_wait(subject, start):
    clients = [_create_client(subject, start)] * SILENT_CALLERS
    await subject.play(clients, subject.port)
    _check(subject)


# Guards against limits that refuse a request which the settings allow.
@pytest.mark.parametrize("line", [SHORT_LINE, b"abcd: " + b"e" * 90 + b"\r\n"])
async def test_entry_serves_the_largest_request(subject, line):
    head = _create_client(subject, POST).start
    head += b"Content-Length: %d\r\n" % MAX_BODY_BYTES
    head += line * ((MAX_HEAD_BYTES - len(head) - 2) // len(line)) + b"\r\n"
    for _ in range(2):
        assert await subject.try_one(head + b"b" * MAX_BODY_BYTES)
    assert subject.is_in_bounds()
    _check(subject)
