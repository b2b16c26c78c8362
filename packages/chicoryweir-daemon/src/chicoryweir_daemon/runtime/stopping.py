"""Runs the tasks of a daemon until its core has stopped."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from chicoryweir_daemon.runtime import cores
from chicoryweir_policy.cores import events


async def await_stop(
    core_task: cores.CoreTask,
    stop: asyncio.Event,
    tasks: collections.abc.Iterable[asyncio.Task[typing.Any]],
) -> None:
    """Waits until the core has stopped, and requests this once `stop` is set.

    Args:
        core_task: Owner of the core.
        stop: Set once the process has to stop.
        tasks: Tasks without which the core can't stop or is of no use.

    Raises:
        Exception: The error of a task that ended before the core stopped.
    """
    stopped = asyncio.ensure_future(core_task.wait_for_stop())
    drained = asyncio.ensure_future(_request_drain(core_task, stop))
    try:
        ended, _ = await asyncio.wait(
            {stopped, *tasks}, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        stopped.cancel()
        drained.cancel()
    if stopped in ended:
        return
    for task in ended:
        task.result()
        raise RuntimeError(f"{task.get_coro()!r} ended before the stop")


async def _request_drain(core_task: cores.CoreTask, stop: asyncio.Event) -> None:
    await stop.wait()
    core_task.post(events.DrainRequested())
