"""Tests of endpoints that send bytes without end until the connection is closed."""

import asyncio
import time

import fleetstandins
import pytest

from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.http1 import connections

PART_BYTES = 16_384
# Time in which an answer without end is given up. The caller's deadline is 3 s away.
MAX_ELAPSED_S = 1.5
# Bytes that an entry may take from such an answer; the buffers of both sockets of the
# connection hold some as well.
MAX_TAKEN_BYTES = 8_000_000


def _build_start(headers, status=200, body_headers=b"", stamp=True, attempt=None):
    attempt = attempt or headers["chicoryweir-attempt-id"]
    stamp_header = b"Chicoryweir-Server-Stamp: s\r\n" if stamp else b""
    return (
        b"HTTP/1.1 %d X\r\nChicoryweir-Attempt-Id: %s\r\n" % (status, attempt.encode())
        + stamp_header
        + body_headers
    )


def _build_endless_head(headers):
    return _build_start(headers), b"X-Filler: " + b"a" * 200 + b"\r\n"


def _build_endless_interim_answers(headers):
    return b"", b"HTTP/1.1 102 Processing\r\nX-Filler: a\r\n\r\n"


def _build_endless_reason(headers):
    return b"HTTP/1.1 200 ", b"a" * 200


def _build_endless_event(headers):
    start = _build_start(
        headers, body_headers=b"Content-Type: text/event-stream\r\n\r\n"
    )
    return start + b"id: 1\ndata: ", b"a" * 200


def _build_endless_repetition(headers):
    start = _build_start(
        headers, body_headers=b"Content-Type: text/event-stream\r\n\r\n"
    )
    return start, b"id: 0\ndata: a\n\n"


def _build_endless_rejection(headers):
    not_run = b"Chicoryweir-Not-Executed: 1\r\n\r\n"
    return _build_start(headers, 503, not_run, stamp=False), b"a" * 200


def _build_endless_failure(headers):
    return _build_start(headers, 500, b"\r\n"), b"a" * 200


def _build_endless_stale_body(headers):
    return _build_start(headers, body_headers=b"\r\n", attempt="old"), b"a" * 200


def _build_endless_stale_answers(headers):
    return b"", fleetstandins.build_answer("old", b"stale")


def _build_endless_trailers(headers):
    start = _build_start(headers, body_headers=b"Transfer-Encoding: chunked\r\n\r\n")
    return start + b"1\r\na\r\n0\r\n", b"X-Filler: " + b"a" * 200 + b"\r\n"


ANY_ROUTE = [
    _build_endless_head,
    _build_endless_interim_answers,
    _build_endless_reason,
    _build_endless_rejection,
    _build_endless_failure,
    _build_endless_stale_body,
    _build_endless_stale_answers,
    _build_endless_trailers,
]
STREAMS = [_build_endless_event, _build_endless_repetition]


class EndlessEndpoint(fleetstandins.EndpointStandIn):
    """Endpoint whose answers begin with `start` and repeat `part` without end."""

    def __init__(self, name, build, pause_s=0.0):
        super().__init__(name, self._send)
        self._build = build
        self._pause_s = pause_s
        self.sent_bytes = 0

    async def _send(self, endpoint, headers, writer):
        start, part = self._build(headers)
        writer.write(start)
        part *= 1 if self._pause_s else max(1, PART_BYTES // len(part))
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
            self.sent_bytes += len(part)
            await asyncio.sleep(self._pause_s)


async def _answer(endpoint, headers, writer):
    writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
    await writer.drain()


# Guards against requests that are held until their deadline.
@pytest.mark.parametrize("build", ANY_ROUTE)
async def test_idempotent_request_with_endless_answer_is_retried_elsewhere(
    start_system, build
):
    endless = EndlessEndpoint("i-1", build)
    system = await start_system(endless, fleetstandins.EndpointStandIn("i-2", _answer))
    for number in range(4):
        began_at = time.monotonic()
        status, _, body, complete = await system.call("/again/x", attempt=f"a{number}")
        assert (status, body, complete) == (200, b"whole", True)
        assert time.monotonic() - began_at < MAX_ELAPSED_S
    assert endless.requests
    assert endless.sent_bytes < MAX_TAKEN_BYTES
    assert endless.closed_by_client == len(endless.requests)


@pytest.mark.parametrize("build", ANY_ROUTE)
async def test_non_idempotent_request_with_endless_answer_fails_at_once(
    start_system, build
):
    endless = EndlessEndpoint("i-1", build)
    system = await start_system(endless)
    began_at = time.monotonic()
    status, headers, _, complete = await system.call("/once/x")
    assert complete
    assert "chicoryweir-server-stamp" not in headers
    assert status == (503 if build is _build_endless_rejection else 502)
    assert time.monotonic() - began_at < MAX_ELAPSED_S
    assert len(endless.requests) == 1


# Guards against an entry that keeps bytes without end in memory.
@pytest.mark.parametrize("build", [*ANY_ROUTE, *STREAMS])
async def test_stream_with_endless_bytes_is_resumed_elsewhere(
    start_system, write_events, build
):
    async def stream(endpoint, headers, writer):
        first = int(headers.get("last-event-id", "0")) + 1
        await write_events(headers, writer, first, 3)

    endless = EndlessEndpoint("i-1", build)
    system = await start_system(endless, fleetstandins.EndpointStandIn("i-2", stream))
    for number in range(4):
        began_at = time.monotonic()
        status, _, body, complete = await system.call(
            "/stream/x", attempt=f"a{number}", Last_Event_Id="0"
        )
        assert (status, complete) == (200, True)
        assert body == b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in (1, 2, 3))
        assert time.monotonic() - began_at < MAX_ELAPSED_S
    assert endless.requests
    assert endless.sent_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize("build", [_build_endless_rejection, _build_endless_stale_body])
async def test_slow_endless_body_does_not_hold_a_request(start_system, build):
    endless = EndlessEndpoint("i-1", build, pause_s=0.05)
    system = await start_system(endless, fleetstandins.EndpointStandIn("i-2", _answer))
    for number in range(4):
        began_at = time.monotonic()
        status, _, body, _ = await system.call("/again/x", attempt=f"a{number}")
        assert (status, body) == (200, b"whole")
        assert time.monotonic() - began_at < MAX_ELAPSED_S
    assert endless.requests


async def test_call_between_instances_gives_up_an_endless_answer():
    endless = EndlessEndpoint("i-1", lambda _: (b"HTTP/1.1 200 X\r\n\r\n", b"a" * 200))
    server = await endless.start()
    address = connections.Address("127.0.0.1", endless.port)
    with pytest.raises(fetching.FetchError, match="longer than") as caught:
        await fetching.fetch(
            connections.Pool(), address, b"GET", b"/", b"", timeout_s=20.0
        )
    assert caught.value.sent
    server.close()
