"""Tests of the limits of an entry's HTTP server."""

import asyncio
import contextlib
import dataclasses

import pytest
import uvicorn
from uvicorn import server

from chicoryweir_daemon import configuration
from chicoryweir_daemon.entry import connection_limits
from chicoryweir_daemon.entry import limited_protocol
from chicoryweir_daemon.http1 import memory

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"


async def _answer(scope, receive, send):
    while (await receive()).get("more_body"):
        pass
    headers = [(b"x-path", scope["path"].encode())]
    await send({"type": "http.response.start", "status": 204, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def _serve(limits=None):
    """Serves connections; returns the port."""
    config = uvicorn.Config(_answer, http=limited_protocol.LimitedProtocol, ws="none")
    config.load()
    state = server.ServerState()
    listener = await asyncio.get_running_loop().create_server(
        lambda: limited_protocol.LimitedProtocol(config, state, {}, limits=limits),
        "127.0.0.1",
        0,
    )
    yield listener.sockets[0].getsockname()[1]
    listener.close()


async def _send(start, part, limits=None):
    """Sends bytes until an answer begins; returns its first bytes."""
    async with _serve(limits) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(start)
            answer = asyncio.create_task(reader.read(12))
            for _ in range(200):
                if part and not answer.done():
                    writer.write(part * (16_384 // len(part)))
                    await writer.drain()
                    await asyncio.sleep(0)
            return await asyncio.wait_for(answer, 5.0)
        except ConnectionError:
            return b"closed"
        finally:
            writer.close()


# Guards against callers that fill an entry's memory with one request: the server has no
# limits of its own.
@pytest.mark.parametrize(
    ("start", "part"),
    [
        (HEAD, b"a:\r\n"),
        (HEAD + b"a: ", b"a"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", b"a:\r\n"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1;", b"a"),
    ],
)
async def test_request_without_end_is_ended(start, part):
    assert await _send(start, part) in (b"HTTP/1.1 400", b"closed")


async def test_request_within_the_limits_is_served():
    lines = b"a:\r\n" * 15_000 + b"Transfer-Encoding: chunked\r\n\r\n"
    request = HEAD + lines + b"1\r\na\r\n0\r\nb: c\r\n\r\n"
    assert await _send(request, b"") == b"HTTP/1.1 204"


LATE = [
    (HEAD, b"HTTP/1.1 408"),
    (b"\r\n", b"HTTP/1.1 408"),
    (HEAD.replace(b"/ ", b"/v1/x ") + b"Content-Length: 9\r\n\r\nab", b"HTTP/1.1 408"),
    # Requests that may run without their body get no status that denies it.
    (HEAD + b"Content-Length: 9\r\n\r\nab", b""),
    (b"", b""),
]


# Guards against connections that stay open for callers who send nothing more.
@pytest.mark.parametrize(("start", "expected"), LATE)
async def test_connection_that_waits_is_ended(start, expected):
    timeouts = configuration.CallerTimeouts(0.2, 0.2, 0.2, 0.2, 0.2)
    limits = dataclasses.replace(
        connection_limits.create_unlimited(), timeouts=timeouts
    )
    assert await _send(start, b"", limits) in (expected, b"closed")


# Guards against a refusal of what is small or runs instead of the largest request.
async def test_largest_incomplete_request_is_refused():
    account = memory.Account(200_000)
    limits = dataclasses.replace(connection_limits.create_unlimited(), account=account)
    path = HEAD.replace(b"/ ", b"/v1/x ")
    large = path + b"Content-Length: 60000\r\n\r\n" + b"b" * 50_000
    small = path + b"Content-Length: 9\r\n\r\nab"
    async with _serve(limits) as port:
        sent = []
        for request in (small, large, large):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            await asyncio.sleep(0.1)
            sent.append((reader, writer))
        refused = [len(reader._buffer) > 0 for reader, _ in sent]
        assert sorted(refused) == [False, False, True]
        assert not refused[0]
        answer = await sent[refused.index(True)][0].read()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1\r\n" in answer
        sent[0][1].write(b"1234567")
        assert (await sent[0][0].read(12)) == b"HTTP/1.1 204"
        for _, writer in sent:
            writer.close()


# Guards against answers that are lost or change places as parsing stops in between.
async def test_requests_sent_ahead_are_answered_in_order():
    requests = b"".join(
        b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" % n
        + b"b" * 70_000
        for n in range(20)
    )
    async with _serve(connection_limits.create_unlimited()) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(requests)
        for n in range(20):
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
            assert b"x-path: /%d\r\n" % n in head
        writer.close()
