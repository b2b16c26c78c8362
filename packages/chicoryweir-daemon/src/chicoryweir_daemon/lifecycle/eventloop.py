"""Runs the event loop of a process to an end that no task can delay."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import signal
import socket
import typing

from chicoryweir_daemon.lifecycle import signals

# Interval at which tasks that haven't ended are cancelled again, and time after which
# they are left behind.
CANCEL_PERIOD_S = 0.02
CANCEL_TIMEOUT_S = 0.2

_Result = typing.TypeVar("_Result")


@dataclasses.dataclass(frozen=True, slots=True)
class Requests:
    """What was asked of a process by signals.

    Attributes:
        stop: Set once the process has to stop.
        reload: Set by each request to reload the settings.
    """

    stop: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    reload: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def run(
    main: collections.abc.Callable[
        [Requests], collections.abc.Coroutine[typing.Any, typing.Any, _Result]
    ],
    receiver: signals.SignalReceiver,
) -> _Result:
    """Runs a coroutine in a new event loop; returns its result."""
    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(_run_with_signals(main, receiver))
    finally:
        receiver.detach()
        loop.run_until_complete(_end_remaining_tasks())
        loop.close()


async def _run_with_signals(
    main: collections.abc.Callable[
        [Requests], collections.abc.Coroutine[typing.Any, typing.Any, _Result]
    ],
    receiver: signals.SignalReceiver,
) -> _Result:
    requests = Requests()
    loop = asyncio.get_running_loop()
    receiver.attach(loop, requests.stop, requests.reload)
    with _wake_on_signals(loop):
        return await main(requests)


@contextlib.contextmanager
def _wake_on_signals(
    loop: asyncio.AbstractEventLoop,
) -> collections.abc.Iterator[None]:
    """Wakes the loop by each signal, also by one that arrives as it begins to wait."""
    receiving, sending = socket.socketpair()
    with receiving, sending:
        receiving.setblocking(False)
        sending.setblocking(False)
        loop.add_reader(receiving, receiving.recv, 4096)
        previous = signal.set_wakeup_fd(sending.fileno(), warn_on_full_buffer=False)
        try:
            yield
        finally:
            signal.set_wakeup_fd(previous)
            loop.remove_reader(receiving)


async def cancel_tasks(
    tasks: collections.abc.Iterable[asyncio.Task[typing.Any]],
) -> set[asyncio.Task[typing.Any]]:
    """Cancels tasks until they have ended; returns those that haven't in time.

    A task loses a cancellation if it arrives as what the task awaits in
    `asyncio.wait_for` completes, so one cancellation is not enough.
    """
    loop = asyncio.get_running_loop()
    pending = set(tasks)
    deadline_at = loop.time() + CANCEL_TIMEOUT_S
    while pending and loop.time() < deadline_at:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_PERIOD_S)
    return pending


async def _end_remaining_tasks() -> None:
    await cancel_tasks(asyncio.all_tasks() - {asyncio.current_task()})
