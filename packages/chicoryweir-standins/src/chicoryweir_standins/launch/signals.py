"""Handles the signals that end a command of the launcher."""

from __future__ import annotations

import asyncio
import collections.abc
import signal

INTERRUPTED_EXIT_CODE = 130

_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def create_stop_event() -> asyncio.Event:
    """Returns an event that SIGINT and SIGTERM set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    return stop


def run_cancellable(command: collections.abc.Coroutine[None, None, int]) -> int:
    """Runs a command that SIGINT and SIGTERM cancel, so that it can clean up.

    Returns:
        Its exit code, or `INTERRUPTED_EXIT_CODE`.
    """
    try:
        return asyncio.run(_cancel_on_signal(command))
    except asyncio.CancelledError:
        return INTERRUPTED_EXIT_CODE


async def _cancel_on_signal(
    command: collections.abc.Coroutine[None, None, int],
) -> int:
    task = asyncio.create_task(command)
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, task.cancel)
    return await task
