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
