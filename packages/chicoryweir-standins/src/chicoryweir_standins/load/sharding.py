"""Splits a load between processes, as one alone can't send a flood on time."""

from __future__ import annotations

import asyncio
import concurrent.futures
import dataclasses
import itertools
import multiprocessing
import time

from chicoryweir_standins.load import driver
from chicoryweir_standins.load import results

SHARDS = 3

_START_DELAY_S = 2.0


async def run_sharded(plan: driver.LoadPlan) -> list[results.Result]:
    """Sends each request at its arrival time, from several processes."""
    start_at = time.monotonic() + _START_DELAY_S
    shards = [
        dataclasses.replace(
            plan, shard_index=shard_index, shard_count=SHARDS, start_at=start_at
        )
        for shard_index in range(SHARDS)
    ]
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(SHARDS, mp_context=context) as pool:
        results_by_shard = await asyncio.gather(
            *(loop.run_in_executor(pool, _run_shard, shard) for shard in shards)
        )
    return list(itertools.chain.from_iterable(results_by_shard))


def _run_shard(plan: driver.LoadPlan) -> list[results.Result]:
    return asyncio.run(driver.run_load(plan))
