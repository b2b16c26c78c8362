"""Tests of callers' connections to a process with limits."""

import asyncio

import pytest

from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory

RECEIVED = limits.ReceivedLimits(unread_timeout_s=0.2)
LIMITS = callers.ServerLimits(1000, 1 << 20, 1.0, 1.0, RECEIVED)


class _Handler:
    def __init__(self):
        self.released = asyncio.Event()
        self.handled = 0
        self.body = b""

    def reject(self, rejected):
        return []

    async def handle(self, request, answer):
        self.handled += 1
        await self.released.wait()
        answer.send(200, [], self.body)


@pytest.fixture
async def start_server():
    """Returns a function that starts a server with limits; all are closed."""
    servers = []

    async def start(max_connections=100, max_bytes=1 << 20):
        handler, connections = _Handler(), set()
        buffer = memory.Account(max_bytes)
        server = await asyncio.get_running_loop().create_server(
            lambda: callers.CallerConnection(
                handler,
                lambda: LIMITS,
                connections,
                lambda: False,
                lambda count: count < max_connections,
                buffer,
            ),
            "127.0.0.1",
            0,
        )
        servers.append(server)
        return handler, buffer, server.sockets[0].getsockname()[1]

    yield start
    for server in servers:
        server.close()


def _encode(size, sent):
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    return head + b"x" * sent


async def _wait_for(condition):
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not hold within the timeout")


# Guards against a process that uses up its descriptors for callers.
async def test_connection_beyond_the_limit_is_closed_at_once(start_server):
    _, _, port = await start_server(max_connections=1)
    _, first = await asyncio.open_connection("127.0.0.1", port)
    reader, second = await asyncio.open_connection("127.0.0.1", port)
    assert await asyncio.wait_for(reader.read(), 5.0) == b""
    first.close()
    second.close()


# Guards against a process that is killed since bodies that it reads fill its memory,
# and against one that refuses all others since one caller holds most of it.
async def test_largest_request_is_rejected_if_there_is_no_memory_for_it(start_server):
    handler, account, port = await start_server(max_bytes=30_000)
    reader, first = await asyncio.open_connection("127.0.0.1", port)
    first.write(_encode(40_000, 25_000))
    await _wait_for(lambda: account.used_bytes > 25_000)
    other_reader, second = await asyncio.open_connection("127.0.0.1", port)
    second.write(_encode(10_000, 9_999))
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1" in head
    assert handler.handled == 0
    handler.released.set()
    second.write(b"x")
    head = await asyncio.wait_for(other_reader.readuntil(b"\r\n\r\n"), 5.0)
    assert head.startswith(b"HTTP/1.1 200 ")
    assert handler.handled == 1
    first.close()
    second.close()
    await _wait_for(lambda: account.used_bytes == 0)


async def test_memory_of_an_answered_request_is_free_again(start_server):
    handler, buffer, port = await start_server(max_bytes=30_000)
    handler.released.set()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(4):
        writer.write(_encode(20_000, 20_000))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        assert head.startswith(b"HTTP/1.1 200 ")
    await _wait_for(lambda: buffer.used_bytes == 0)
    writer.close()


# Guards against a running request that is rejected as not run.
async def test_request_in_progress_is_not_rejected_for_want_of_memory(start_server):
    handler, buffer, port = await start_server(max_bytes=30_000)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(_encode(20_000, 20_000))
    await _wait_for(lambda: handler.handled == 1)
    other = (await asyncio.open_connection("127.0.0.1", port))[1]
    other.write(_encode(40_000, 20_000))
    handler.released.set()
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    assert head.startswith(b"HTTP/1.1 200 ")
    other.close()
    writer.close()


# Guards against answers that pile up for a caller that doesn't read.
async def test_caller_that_does_not_read_is_disconnected(start_server):
    handler, account, port = await start_server(max_bytes=100 << 20)
    handler.released.set()
    handler.body = b"x" * 8_000_000
    _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1000)
    writer.write(_encode(0, 0) * 20)
    await _wait_for(lambda: account.used_bytes > 0)
    await _wait_for(lambda: account.used_bytes == 0)
    assert handler.handled == 1
    writer.close()


# Guards against an interim answer that is written within the answer before it.
async def test_continue_follows_the_answer_before(start_server):
    handler, _, port = await start_server()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    expecting = _encode(3, 0).replace(b"Host", b"Expect: 100-continue\r\nHost")
    writer.write(_encode(0, 0) + expecting)
    await _wait_for(lambda: handler.handled == 1)
    handler.released.set()
    heads = [await reader.readuntil(b"\r\n\r\n") for _ in range(2)]
    assert [head[:12] for head in heads] == [b"HTTP/1.1 200", b"HTTP/1.1 100"]
    writer.write(b"abc")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    assert head.startswith(b"HTTP/1.1 200 ")
    writer.close()
