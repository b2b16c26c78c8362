"""Sends open-loop load to entries or engines."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time

from chicoryweir_standins.load import addresses
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import caller
from chicoryweir_standins.load import connections
from chicoryweir_standins.load import results


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Requests to send, and their destinations.

    Attributes:
        streams: Streams of requests.
        seeds: Base URLs of the entries that are queried for addresses; with
            `is_direct` the base URLs of engines.
        service: Service whose addresses are looked up.
        seed: Seed of the arrivals.
        one_way_s: Latency injected between callers and entries in each direction.
        is_direct: Whether requests are sent directly to engines.
        shard_index: Index of this process among those that share the arrivals.
        shard_count: Number of processes that share the arrivals.
        start_at: Monotonic time of the start; 0 starts immediately.
    """

    streams: tuple[arrivals.Stream, ...]
    seeds: tuple[str, ...]
    service: str
    seed: int
    one_way_s: float = 0.0
    is_direct: bool = False
    shard_index: int = 0
    shard_count: int = 1
    start_at: float = 0.0

    def list_arrivals(self) -> list[arrivals.Arrival]:
        """Returns the arrivals that this process sends."""
        drawn = arrivals.draw_arrivals(self.streams, self.seed)
        return drawn[self.shard_index :: self.shard_count]


async def run_load(plan: LoadPlan) -> list[results.Result]:
    """Sends each request at its arrival time; returns the results."""
    async with contextlib.AsyncExitStack() as stack:
        clients = connections.ClientPool(stack)
        address_cache = addresses.AddressCache(
            clients.get_next(), plan.seeds, plan.service
        )
        url_random = random.Random(plan.seed)
        started_at = max(time.monotonic(), plan.start_at)
        calls = []
        async with asyncio.TaskGroup() as group:
            for arrival in plan.list_arrivals():
                due_at = started_at + arrival.at_s
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                urls = plan.seeds
                if not plan.is_direct:
                    urls = await address_cache.list_urls(time.monotonic())
                url = url_random.choice(urls)
                target = caller.Target(url, plan.one_way_s, plan.is_direct)
                client = clients.get_next()
                call = caller.call_model(client, target, arrival, plan.seed, due_at)
                calls.append(group.create_task(call))
        return [call.result() for call in calls]
