"""Task that feeds events to a core and dispatches its commands to handlers."""

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
    """A deterministic state machine without I/O."""

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        """Handles one event and returns the resulting commands.

        Args:
            event: The event.
            now: Monotonic time, in seconds.
        """


class CoreTask:
    """Owns a core and passes it one event at a time."""

    def __init__(self, core: Core, tick_period_s: float) -> None:
        self._core = core
        self._tick_period_s = tick_period_s
        self._inbox: inbox.Inbox[events.Event] = inbox.Inbox()
        self._handlers: dict[type, Handler] = {}
        self._stopped = asyncio.Event()

    def set_handler(self, command_type: type, handler: Handler) -> None:
        """Sets the handler of a command type; the handler must not block."""
        self._handlers[command_type] = handler

    def post(self, event: events.Event) -> None:
        """Queues an event."""
        self._inbox.put(event)

    def post_all(self, batch: collections.abc.Iterable[events.Event]) -> None:
        """Queues events in order."""
        self._inbox.put_all(batch)

    async def run(self) -> None:
        """Processes events until cancelled, also after the core returned `Stop`."""
        while True:
            for event in await self._inbox.get_all():
                self._step(event)

    async def run_ticker(self) -> None:
        """Posts a `Ticked` event periodically."""
        while True:
            await asyncio.sleep(self._tick_period_s)
            self.post(events.Ticked())

    async def wait_for_stop(self) -> None:
        """Waits until the core has returned `Stop`."""
        await self._stopped.wait()

    def _step(self, event: events.Event) -> None:
        for command in self._core.step(event, time.monotonic()):
            if isinstance(command, commands.Stop):
                self._stopped.set()
                continue
            handler = self._handlers.get(type(command))
            if handler is not None:
                handler(command)
