"""Tests of the wait for the stop of a daemon."""

from __future__ import annotations

import asyncio

import pytest

from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import stopping
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events


class Core:
    """Stops when it is asked to drain; fails at a tick."""

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        match event:
            case events.DrainRequested():
                return [commands.Stop()]
            case events.Ticked():
                raise RuntimeError("tick")
            case _:
                return []


def _start_core() -> tuple[cores.CoreTask, asyncio.Task[None]]:
    core_task = cores.CoreTask(Core(), 1.0)
    return core_task, asyncio.create_task(core_task.run())


async def test_stop_request_drains_the_core() -> None:
    core_task, core_run = _start_core()
    stop = asyncio.Event()
    asyncio.get_running_loop().call_soon(stop.set)
    await stopping.await_stop(core_task, stop, [core_run])
    assert not core_run.done()
    core_run.cancel()


async def test_core_may_stop_without_a_request() -> None:
    core_task, core_run = _start_core()
    core_task.post(events.DrainRequested())
    await stopping.await_stop(core_task, asyncio.Event(), [core_run])
    core_run.cancel()


# Guards against daemons that run on without a core, and that no signal stops.
async def test_error_of_the_core_is_raised() -> None:
    core_task, core_run = _start_core()
    core_task.post(events.Ticked())
    with pytest.raises(RuntimeError, match="tick"):
        await stopping.await_stop(core_task, asyncio.Event(), [core_run])


async def test_task_that_returns_early_is_an_error() -> None:
    core_task, core_run = _start_core()
    serving = asyncio.create_task(asyncio.sleep(0))
    with pytest.raises(RuntimeError, match="ended before the stop"):
        await stopping.await_stop(core_task, asyncio.Event(), [core_run, serving])
    core_run.cancel()
