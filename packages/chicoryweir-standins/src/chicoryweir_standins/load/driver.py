"""Drives entries with open-loop arrivals."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

import httpx

from chicoryweir_standins.load import addresses
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import caller
from chicoryweir_standins.load import results

_MAX_IN_FLIGHT = 4000
_CONNECT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to send, and where.

    Attributes:
        streams: Streams of requests.
        seeds: Base URLs of the entries that are asked for addresses; with
            `is_direct` the base URLs of engines.
        service: Service whose addresses are looked up.
        seed: Seed of the arrivals.
        one_way_s: Latency injected between callers and entries, each way.
        is_direct: Whether requests go straight to the engines.
    """

    streams: tuple[arrivals.Stream, ...]
    seeds: tuple[str, ...]
    service: str
    seed: int
    one_way_s: float = 0.0
    is_direct: bool = False


async def run_load(plan: LoadPlan) -> list[results.Result]:
    """Sends all arrivals at their times; returns their results."""
    limits = httpx.Limits(
        max_connections=_MAX_IN_FLIGHT, max_keepalive_connections=_MAX_IN_FLIGHT
    )
    timeout = httpx.Timeout(60.0, connect=_CONNECT_S)
    async with httpx.AsyncClient(limits=limits, timeout=timeout) as client:
        book = addresses.AddressBook(client, plan.seeds, plan.service)
        picks = random.Random(plan.seed)
        started_at = time.monotonic()
        tasks = []
        for arrival in arrivals.draw_arrivals(plan.streams, plan.seed):
            due = started_at + arrival.at_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            urls = plan.seeds
            if not plan.is_direct:
                urls = await book.list_urls(time.monotonic())
            target = caller.Target(picks.choice(urls), plan.one_way_s, plan.is_direct)
            call = caller.call_model(client, target, arrival, plan.seed, due)
            tasks.append(asyncio.create_task(call))
        return list(await asyncio.gather(*tasks))
