"""Task that dials, accepts and serves the links to other daemons."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import itertools
import random
import typing

import websockets.exceptions

from chicoryweir_daemon.runtime import cores
from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.membership import instances
from chicoryweir_wire import links

MIN_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this daemon, sent in the Hello message of each link."""

    instance: str
    role: instances.Role
    data_centre: str
    service: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes sent and received over links, without the websocket framing."""

    sent_bytes: int
    received_bytes: int


class LinkTask:
    """Dials the peers that the core requests and accepts links from others."""

    def __init__(
        self,
        identity: Identity,
        secret: bytes,
        core_task: cores.CoreTask,
        log: collections.abc.Callable[[commands.LogEvent], None],
    ) -> None:
        self._identity = identity
        self._secret = secret
        self._core_task = core_task
        self._log = log
        self._links: dict[str, links.Link] = {}
        self._dialers: dict[tuple[str, str, int], asyncio.Task[None]] = {}
        self._sessions = itertools.count(1)
        self._server: typing.Any = None
        self._closed_traffic = Traffic(0, 0)
        core_task.set_handler(commands.Send, self._send)
        core_task.set_handler(commands.MaintainLinks, self._maintain_links)

    async def listen(self, ip: str, port: int) -> None:
        """Accepts links until `close` is called."""
        self._server = await links.listen_links(
            ip, port, self._secret, self._make_listener_hello, self._serve
        )

    async def close(self) -> None:
        """Flushes and closes all links."""
        open_links = list(self._links.values())
        await asyncio.gather(*(link.flush() for link in open_links))
        for task in self._dialers.values():
            task.cancel()
        if self._server is not None:
            self._server.close()
        await asyncio.gather(*(link.close() for link in open_links))

    async def await_room(self, session: str) -> None:
        """Waits while much is queued on the link of a session, if there is one."""
        link = self._links.get(session)
        if link is not None:
            await link.await_room()

    def get_traffic(self) -> Traffic:
        """Returns the total traffic of all links, including closed ones."""
        return _add_traffic(self._closed_traffic, *self._links.values())

    def _make_listener_hello(self) -> messages.Hello:
        session = f"{self._identity.incarnation}:{next(self._sessions)}"
        return self._make_hello(session)

    def _make_hello(self, session: str) -> messages.Hello:
        own = self._identity
        return messages.Hello(
            own.instance,
            own.role,
            own.data_centre,
            own.service,
            own.incarnation,
            session,
            0,
        )

    def _send(self, command: commands.Send) -> None:
        link = self._links.get(command.session_id)
        if link is not None and not link.enqueue(command.message):
            asyncio.ensure_future(link.close())

    def _maintain_links(self, command: commands.MaintainLinks) -> None:
        wanted = set(command.peers)
        for peer in set(self._dialers) - wanted:
            self._dialers.pop(peer).cancel()
        for peer in command.peers:
            if peer not in self._dialers:
                self._dialers[peer] = asyncio.ensure_future(self._dial(peer))

    async def _dial(self, peer: tuple[str, str, int]) -> None:
        instance, ip, port = peer
        delay_s = MIN_REDIAL_DELAY_S
        failure_logged = False
        while True:
            try:
                link, hello = await links.dial_link(
                    ip, port, self._secret, self._make_hello("")
                )
            except links.LinkError as error:
                if not failure_logged:
                    number = catalogue.LINK_REFUSED
                    detail = f"{error.step}: {error.detail}"
                    self._log(commands.LogEvent(number, "", instance, detail))
                failure_logged = True
                delay_s = min(MAX_REDIAL_DELAY_S, delay_s * 2)
            else:
                delay_s = MIN_REDIAL_DELAY_S
                failure_logged = False
                await self._run(link, hello, hello.session)
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))

    async def _serve(
        self, link: links.Link, hello: messages.Hello, own: messages.Hello
    ) -> None:
        await self._run(link, hello, own.session)

    async def _run(self, link: links.Link, hello: messages.Hello, session: str) -> None:
        self._links[session] = link
        self._core_task.post(events.LinkOpened(hello, session))
        sender = asyncio.ensure_future(link.run_sender())
        try:
            while True:
                received = await link.receive()
                self._core_task.post_all(
                    [
                        events.MessageReceived(hello.instance, session, message)
                        for message in received
                    ]
                )
        except (links.LinkError, websockets.exceptions.ConnectionClosed):
            pass
        finally:
            sender.cancel()
            self._links.pop(session, None)
            self._closed_traffic = _add_traffic(self._closed_traffic, link)
            self._core_task.post(events.LinkClosed(hello.instance, session))
            await link.close()


def _add_traffic(base: Traffic, *added: links.Link) -> Traffic:
    return Traffic(
        base.sent_bytes + sum(link.sent_bytes for link in added),
        base.received_bytes + sum(link.received_bytes for link in added),
    )
