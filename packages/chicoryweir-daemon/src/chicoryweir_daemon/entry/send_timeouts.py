"""Ends the answers of callers that no longer take what is sent to them."""

from __future__ import annotations

import asyncio
import time
import typing

SEND_TIMEOUT_S = 30.0
SWEEP_PERIOD_S = 5.0


class Sender:
    """One answer that is being sent; `since` is set while a send is under way."""

    def __init__(self, task: asyncio.Task[typing.Any] | None) -> None:
        self.task = task
        self.since: float | None = None

    def begin(self) -> None:
        """A send begins."""
        self.since = time.monotonic()

    def end(self) -> None:
        """The caller's connection took what was sent."""
        self.since = None


class Senders:
    """All answers of an entry that are being sent.

    One sweep over them costs less than a timer for each piece of each answer.
    """

    def __init__(self) -> None:
        self._senders: dict[str, Sender] = {}

    def open(self, request_id: str) -> Sender:
        """Adds the answer that the present task sends."""
        sender = Sender(asyncio.current_task())
        self._senders[request_id] = sender
        return sender

    def close(self, request_id: str) -> None:
        """Removes an answer."""
        self._senders.pop(request_id, None)

    def sweep(self, now: float) -> int:
        """Ends answers that wait for their callers too long; returns how many."""
        stuck = [
            sender
            for sender in self._senders.values()
            if sender.since is not None and now - sender.since > SEND_TIMEOUT_S
        ]
        for sender in stuck:
            if sender.task is not None:
                sender.task.cancel()
        return len(stuck)

    async def run(self) -> typing.NoReturn:
        """Sweeps from time to time."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            self.sweep(time.monotonic())
