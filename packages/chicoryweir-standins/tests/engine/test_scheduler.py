"""Tests of continuous batching."""

import asyncio

from chicoryweir_standins import reporting
from chicoryweir_standins.engine import prefix_cache
from chicoryweir_standins.engine import scheduler


class SteppedPace:
    """Ends a step whenever the test says so."""

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


def create_run(name: str, priority: int, tokens: int = 3) -> scheduler.Call:
    return scheduler.Call(name, priority, "", "", "text", ["t"] * tokens)


async def test_each_running_request_gets_one_token_a_step() -> None:
    batching, pace = create_scheduler(2), SteppedPace()
    task = asyncio.create_task(batching.run_steps(pace))
    first, second = create_run("a", 1), create_run("b", 1)
    batching.submit(first)
    batching.submit(second)
    await pace.step(2)
    assert (first.position, second.position) == (2, 2)
    task.cancel()


async def test_urgent_request_overtakes_queued_bulk() -> None:
    batching, pace = create_scheduler(1), SteppedPace()
    runs = [create_run("bulk", 2), create_run("urgent", 0)]
    for run in runs:
        batching.submit(run)
    task = asyncio.create_task(batching.run_steps(pace))
    await pace.step(3)
    assert [run.position for run in runs] == [0, 3]
    task.cancel()


async def test_cancelled_request_frees_its_slot() -> None:
    batching, pace = create_scheduler(1), SteppedPace()
    first, second = create_run("a", 1, tokens=100), create_run("b", 1)
    batching.submit(first)
    batching.submit(second)
    task = asyncio.create_task(batching.run_steps(pace))
    await pace.step(1)
    batching.cancel(first)
    await pace.step(2)
    assert second.position > 0
    task.cancel()


def test_cache_holds_no_more_than_its_capacity() -> None:
    published: list[str] = []
    cache = prefix_cache.PrefixCache(2, lambda kind, block: published.append(kind))
    assert cache.admit("a" * 256 * 3) == 0
    assert len(cache.list_blocks()) == 2
    assert published == ["stored"] * 3 + ["evicted"]


def test_known_prefix_needs_no_prefill() -> None:
    cache = prefix_cache.PrefixCache(8, lambda kind, block: None)
    cache.admit("a" * 512)
    assert cache.admit("a" * 512 + "b" * 256) == 2
