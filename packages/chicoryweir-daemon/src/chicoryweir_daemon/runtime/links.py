"""The task that owns the links to other daemons."""

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

REDIAL_MIN_S = 0.1
REDIAL_MAX_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What this daemon says of itself on a link."""

    instance: str
    role: instances.Role
    data_centre: str
    service: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes that went over links, before the websockets' own framing."""

    sent_bytes: int
    received_bytes: int


class LinkTask:
    """Dials the peers that the core wants, and accepts the links of others."""

    def __init__(
        self,
        identity: Identity,
        secret: bytes,
        core: cores.CoreTask,
        log: collections.abc.Callable[[commands.Record], None],
    ) -> None:
        self._identity = identity
        self._secret = secret
        self._core = core
        self._log = log
        self._links: dict[str, links.Link] = {}
        self._dialers: dict[tuple[str, str, int], asyncio.Task[None]] = {}
        self._sessions = itertools.count(1)
        self._server: typing.Any = None
        self._ended = Traffic(0, 0)
        core.set_handler(commands.Send, self._send)
        core.set_handler(commands.MaintainLinks, self._keep)

    async def listen(self, ip: str, port: int) -> None:
        """Accepts links until `close`."""
        self._server = await links.listen_links(
            ip, port, self._secret, self._make_hello, self._serve
        )

    async def close(self) -> None:
        """Ends all links."""
        open_links = list(self._links.values())
        await asyncio.gather(*(link.flush() for link in open_links))
        for task in self._dialers.values():
            task.cancel()
        if self._server is not None:
            self._server.close()
        for link in open_links:
            await link.close()

    def measure_traffic(self) -> Traffic:
        """Returns the bytes over all links so far, ended ones included."""
        return _add_links(self._ended, *self._links.values())

    def _make_hello(self) -> messages.Hello:
        session = f"{self._identity.incarnation}:{next(self._sessions)}"
        return self._describe(session)

    def _describe(self, session: str) -> messages.Hello:
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
        link = self._links.get(command.session)
        if link is not None and not link.enqueue(command.message):
            asyncio.ensure_future(link.close())

    def _keep(self, command: commands.MaintainLinks) -> None:
        wanted = set(command.peers)
        for peer in set(self._dialers) - wanted:
            self._dialers.pop(peer).cancel()
        for peer in command.peers:
            if peer not in self._dialers:
                self._dialers[peer] = asyncio.ensure_future(self._dial(peer))

    async def _dial(self, peer: tuple[str, str, int]) -> None:
        instance, ip, port = peer
        wait_s = REDIAL_MIN_S
        refused = False
        while True:
            try:
                link, hello = await links.dial_link(
                    ip, port, self._secret, self._describe("")
                )
            except links.LinkError as error:
                if not refused:
                    number = catalogue.LINK_REFUSED
                    detail = f"{error.step}: {error.detail}"
                    self._log(commands.Record(number, "", instance, detail))
                refused = True
                wait_s = min(REDIAL_MAX_S, wait_s * 2)
            else:
                wait_s = REDIAL_MIN_S
                refused = False
                await self._run(link, hello, hello.session)
            await asyncio.sleep(wait_s * random.uniform(0.5, 1.0))

    async def _serve(
        self, link: links.Link, hello: messages.Hello, own: messages.Hello
    ) -> None:
        await self._run(link, hello, own.session)

    async def _run(self, link: links.Link, hello: messages.Hello, session: str) -> None:
        self._links[session] = link
        self._core.post(events.LinkOpened(hello, session))
        sender = asyncio.ensure_future(link.run_sender())
        try:
            while True:
                received = await link.receive()
                self._core.post_all(
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
            self._ended = _add_links(self._ended, link)
            self._core.post(events.LinkClosed(hello.instance, session))
            await link.close()


def _add_links(base: Traffic, *added: links.Link) -> Traffic:
    return Traffic(
        base.sent_bytes + sum(link.sent_bytes for link in added),
        base.received_bytes + sum(link.received_bytes for link in added),
    )
