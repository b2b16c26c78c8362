"""Measures the latency added to the first token and the CPU cost of relaying."""

from __future__ import annotations

import asyncio
import time

import httpx

from chicoryweir_standins.bench import measures
from chicoryweir_standins.bench import process_stats
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import caller
from chicoryweir_standins.load import driver
from chicoryweir_standins.load import results

EXPERIMENT = "relay"
DEPLOYMENT = "1 entry, 3 engines"

ADDED_FIRST_TOKEN = measures.Target(
    "first token through the system over direct, p99, idle",
    "ms more",
    measures.Bound.AT_MOST,
    5.0,
)
TOKENS_PER_CORE = measures.Target(
    "tokens relayed by one entry for each second of its processor time",
    "tokens/s",
    measures.Bound.AT_LEAST,
    20_000.0,
)
CORE_SHARE = measures.Target(
    "share of one core that an entry spends at 5,500 tokens/s",
    "% of a core",
    measures.Bound.AT_MOST,
    30.0,
)

_IDLE_S = 6.0
_IDLE_RATE_PER_S = 10.0
_IDLE_TOKENS = 4
_STREAMS = 44
_STREAM_TOKENS = 2000
_REFERENCE_TOKENS_PER_S = 5500.0
_DEADLINE_MS = 30_000


async def measure_first_token(
    running_fleet: fleet.Fleet, seed: int
) -> measures.Measure:
    """Measures the latency that an entry adds, with equal light loads on both paths."""
    stream = arrivals.Stream(
        "relay",
        "urgent",
        _IDLE_RATE_PER_S,
        _DEADLINE_MS,
        max_tokens=_IDLE_TOKENS,
        key=running_fleet.plan.keys.caller,
        end_s=_IDLE_S,
    )
    engines = tuple(running_fleet.list_urls("engine"))
    direct, via_entry = await asyncio.gather(
        _run(stream, engines, 2 * seed, is_direct=True),
        _run(stream, running_fleet.plan.entry_urls, 2 * seed + 1, is_direct=False),
    )
    added_ms = via_entry.compute_first_token_ms(99) - direct.compute_first_token_ms(99)
    return measures.Measure(DEPLOYMENT, EXPERIMENT, seed, ADDED_FIRST_TOKEN, added_ms)


async def measure_relay(
    running_fleet: fleet.Fleet, seed: int
) -> list[measures.Measure]:
    """Measures the CPU time that one entry needs to relay long answers."""
    pid = running_fleet.children[running_fleet.list_names("entry")[0]].pid
    stream = arrivals.Stream(
        "relay",
        "standard",
        1.0,
        _DEADLINE_MS,
        max_tokens=_STREAM_TOKENS,
        key=running_fleet.plan.keys.caller,
    )
    target = caller.Target(running_fleet.plan.entry_urls[0])
    limits = httpx.Limits(max_connections=_STREAMS)
    async with httpx.AsyncClient(limits=limits, timeout=30.0) as client:
        cpu_time_s = process_stats.read_cpu_time_s(pid)
        started_at = time.monotonic()
        answers = await asyncio.gather(
            *(
                caller.call_model(
                    client, target, arrivals.Arrival(0.0, n, stream), seed, started_at
                )
                for n in range(_STREAMS)
            )
        )
        cpu_time_s = process_stats.read_cpu_time_s(pid) - cpu_time_s
    tokens = sum(result.tokens for result in answers)
    per_core = tokens / cpu_time_s if cpu_time_s else 0.0
    share = 100.0 * _REFERENCE_TOKENS_PER_S / per_core if per_core else 100.0
    rate = tokens / (time.monotonic() - started_at)
    print(f"  relayed {tokens} tokens at {rate:.0f}/s, entry spent {cpu_time_s:.2f} s")
    return [
        measures.Measure(DEPLOYMENT, EXPERIMENT, seed, TOKENS_PER_CORE, per_core),
        measures.Measure(DEPLOYMENT, EXPERIMENT, seed, CORE_SHARE, share),
    ]


async def _run(
    stream: arrivals.Stream, urls: tuple[str, ...], seed: int, is_direct: bool
) -> results.Tally:
    load = driver.LoadPlan(
        (stream,), urls, plan.MODEL_SERVICE, seed, is_direct=is_direct
    )
    answers = await driver.run_load(load)
    tally = results.tally_by_class(answers)["urgent"]
    print(f"  {'direct' if is_direct else 'through'}: {tally.describe()}")
    return tally
