"""Tests of the limits of an entry's HTTP server."""

import asyncio

import pytest
import uvicorn
from uvicorn import server

from chicoryweir_daemon.entry import limited_protocol

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"


async def _answer(scope, receive, send):
    while (await receive()).get("more_body"):
        pass
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


async def _send(start, part):
    """Sends bytes until an answer begins; returns its first bytes."""
    config = uvicorn.Config(_answer, http=limited_protocol.LimitedProtocol, ws="none")
    config.load()
    state = server.ServerState()
    listener = await asyncio.get_running_loop().create_server(
        lambda: limited_protocol.LimitedProtocol(config, state, {}), "127.0.0.1", 0
    )
    port = listener.sockets[0].getsockname()[1]
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
        listener.close()


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
