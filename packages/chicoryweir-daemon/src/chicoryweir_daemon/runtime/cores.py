"""The task that owns a core: feeds it events and has its commands carried out."""

from __future__ import annotations

import asyncio
import collections.abc
import time
import typing

from chicoryweir_daemon.runtime import inbox
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

Handler = collections.abc.Callable[[typing.Any], None]


class Core(typing.Protocol):
    """A deterministic core."""

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        """Consumes one event at a monotonic time, in seconds."""


class CoreTask:
    """Steps a core, one event after another."""

    def __init__(self, core: Core, tick_s: float) -> None:
        self._core = core
        self._tick_s = tick_s
        self._inbox: inbox.Inbox[events.Event] = inbox.Inbox()
        self._handlers: dict[type, Handler] = {}
        self._stopped = asyncio.Event()

    def set_handler(self, kind: type, handler: Handler) -> None:
        """Sets what carries out a kind of command; it must not block."""
        self._handlers[kind] = handler

    def post(self, event: events.Event) -> None:
        """Queues an event."""
        self._inbox.put(event)

    def post_all(self, posted: collections.abc.Iterable[events.Event]) -> None:
        """Queues events in order."""
        self._inbox.put_all(posted)

    async def run(self) -> None:
        """Steps the core until it is cancelled, also after the core said `Stop`."""
        while True:
            for event in await self._inbox.get_all():
                self._step(event)

    async def run_ticker(self) -> None:
        """Lets the core know that time passes."""
        while True:
            await asyncio.sleep(self._tick_s)
            self.post(events.Ticked())

    async def wait_for_stop(self) -> None:
        """Returns once the core said `Stop`."""
        await self._stopped.wait()

    def _step(self, event: events.Event) -> None:
        for command in self._core.step(event, time.monotonic()):
            if isinstance(command, commands.Stop):
                self._stopped.set()
                continue
            handler = self._handlers.get(type(command))
            if handler is not None:
                handler(command)
