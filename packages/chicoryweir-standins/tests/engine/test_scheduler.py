"""Tests of continuous batching."""

import asyncio

from chicoryweir_standins import reporting
from chicoryweir_standins.engine import prefix_cache
from chicoryweir_standins.engine import scheduler


class ManualTimer:
    """Ends a step when the test calls `step`."""

    def __init__(self) -> None:
        self._steps = asyncio.Semaphore(0)

    async def wait_step(self, tokens: int) -> None:
        await self._steps.acquire()

    async def step(self, count: int) -> None:
        for _ in range(count):
            self._steps.release()
        await asyncio.sleep(0.01)


def create_scheduler(slots: int) -> scheduler.Scheduler:
    cache = prefix_cache.PrefixCache(8, lambda kind, block: None)
    reporter = reporting.RunReporter("")
    return scheduler.Scheduler("engine-1", slots, 1000, cache, reporter)


def create_call(name: str, priority: int, tokens: int = 3) -> scheduler.Call:
    return scheduler.Call(name, priority, "", "", "text", ["t"] * tokens)


async def test_each_running_call_gets_one_token_per_step() -> None:
    engine_scheduler, timer = create_scheduler(2), ManualTimer()
    task = asyncio.create_task(engine_scheduler.run_steps(timer))
    first, second = create_call("a", 1), create_call("b", 1)
    engine_scheduler.submit(first)
    engine_scheduler.submit(second)
    await timer.step(2)
    assert (first.position, second.position) == (2, 2)
    task.cancel()


async def test_urgent_call_overtakes_queued_bulk_call() -> None:
    engine_scheduler, timer = create_scheduler(1), ManualTimer()
    calls = [create_call("bulk", 2), create_call("urgent", 0)]
    for call in calls:
        engine_scheduler.submit(call)
    task = asyncio.create_task(engine_scheduler.run_steps(timer))
    await timer.step(3)
    assert [call.position for call in calls] == [0, 3]
    task.cancel()


async def test_cancelled_call_frees_its_slot() -> None:
    engine_scheduler, timer = create_scheduler(1), ManualTimer()
    first, second = create_call("a", 1, tokens=100), create_call("b", 1)
    engine_scheduler.submit(first)
    engine_scheduler.submit(second)
    task = asyncio.create_task(engine_scheduler.run_steps(timer))
    await timer.step(1)
    engine_scheduler.cancel(first)
    await timer.step(2)
    assert second.position > 0
    task.cancel()


def test_cache_holds_no_more_than_its_capacity() -> None:
    published: list[str] = []
    cache = prefix_cache.PrefixCache(2, lambda kind, block: published.append(kind))
    assert cache.add_prompt("a" * 256 * 3) == 0
    assert len(cache.list_blocks()) == 2
    assert published == ["stored"] * 3 + ["evicted"]


def test_cached_prefix_needs_no_prefill() -> None:
    cache = prefix_cache.PrefixCache(8, lambda kind, block: None)
    cache.add_prompt("a" * 512)
    assert cache.add_prompt("a" * 512 + "b" * 256) == 2
