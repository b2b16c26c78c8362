"""Tests of links over the loopback interface."""

from __future__ import annotations

import asyncio

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy.membership import instances
from chicoryweir_wire import links


def _make_hello(name: str) -> messages.Hello:
    return messages.Hello(name, instances.Role.AGENT, "p", "", "i", "s", 0)


async def _start_listener(received: asyncio.Queue[object]) -> tuple[object, int]:
    async def handle(
        link: links.Link, hello: messages.Hello, own: messages.Hello
    ) -> None:
        received.put_nowait(hello)
        received.put_nowait((await link.receive())[0])

    server = await links.listen_links(
        "127.0.0.1", 0, b"secret", lambda: _make_hello("listener"), handle
    )
    return server, server.sockets[0].getsockname()[1]


async def test_message_reaches_the_listener() -> None:
    received: asyncio.Queue[object] = asyncio.Queue()
    server, port = await _start_listener(received)
    link, hello = await links.dial_link(
        "127.0.0.1", port, b"secret", _make_hello("dialer")
    )
    await link.send_frame(messages.Heartbeat(7))
    assert hello.instance == "listener"
    assert await received.get() == _make_hello("dialer")
    assert await received.get() == messages.Heartbeat(7)
    await link.close()
    server.close()


async def test_wrong_secret_is_rejected() -> None:
    server, port = await _start_listener(asyncio.Queue())
    with pytest.raises(links.LinkError):
        await links.dial_link("127.0.0.1", port, b"other", _make_hello("dialer"))
    server.close()


# Guards against a stop that doesn't end: it waited for a peer that reads nothing.
async def test_close_ends_if_the_peer_reads_nothing() -> None:
    forever = asyncio.Event()

    async def handle(
        link: links.Link, hello: messages.Hello, own: messages.Hello
    ) -> None:
        await forever.wait()

    server = await links.listen_links(
        "127.0.0.1", 0, b"secret", lambda: _make_hello("listener"), handle
    )
    port = server.sockets[0].getsockname()[1]
    link, _ = await links.dial_link("127.0.0.1", port, b"secret", _make_hello("dialer"))
    long_message = _make_hello("x" * 100_000)

    async def send() -> None:
        while True:
            await link.send_frame(long_message)

    sending = asyncio.create_task(send())
    sent = -1
    while sent != link.sent_bytes:
        sent = link.sent_bytes
        await asyncio.sleep(0.1)
    try:
        async with asyncio.timeout(2 * links.CLOSE_TIMEOUT_S):
            await link.close()
    finally:
        sending.cancel()
        forever.set()
        server.close()


# Guards against a sender that keeps parts of answers which its peer doesn't take.
async def test_link_has_room_again_once_its_peer_reads() -> None:
    part = messages.AttemptChunk("a", 0, (b"x" * 400_000,))
    may_read = asyncio.Event()

    async def handle(
        link: links.Link, hello: messages.Hello, own: messages.Hello
    ) -> None:
        await may_read.wait()
        while True:
            await link.receive()

    server = await links.listen_links(
        "127.0.0.1", 0, b"secret", lambda: _make_hello("listener"), handle
    )
    port = server.sockets[0].getsockname()[1]
    link, _ = await links.dial_link("127.0.0.1", port, b"secret", _make_hello("dialer"))
    await link.await_room()
    sender = asyncio.create_task(link.run_sender())
    while link.enqueue(part):
        try:
            async with asyncio.timeout(0.2):
                await link.await_room()
        except TimeoutError:
            break
    may_read.set()
    async with asyncio.timeout(5.0):
        await link.await_room()
    sender.cancel()
    await link.close()
    server.close()


# Guards against a wait that outlasts the link.
async def test_wait_for_room_ends_when_the_link_closes() -> None:
    server, port = await _start_listener(asyncio.Queue())
    link, _ = await links.dial_link("127.0.0.1", port, b"secret", _make_hello("dialer"))
    link.enqueue(messages.AttemptChunk("a", 0, (b"x" * (2 << 20),)))
    waiting = asyncio.create_task(link.await_room())
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await link.close()
    async with asyncio.timeout(1.0):
        await waiting
    server.close()
