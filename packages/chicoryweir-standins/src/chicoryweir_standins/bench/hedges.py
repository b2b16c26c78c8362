"""Measures the benefit of hedging while an engine stalls, and the cost in a flood."""

from __future__ import annotations

import argparse
import asyncio
import collections.abc
import dataclasses
import pathlib
import statistics

import httpx

from chicoryweir_standins.bench import deployments
from chicoryweir_standins.bench import process_stats
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan
from chicoryweir_standins.launch import signals
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import driver
from chicoryweir_standins.load import results

WINDOW_S = 6.0
STALL_START_S = 0.5
STALL_DURATION_S = 4.0
DEADLINE_MS = 2000
LIGHT_LOAD = 0.3  # share of the capacity
FLOOD_LOAD = 2.0  # multiple of the capacity
WORKSPACE = "field"
SIZE = plan.FleetSize(
    entries=2,
    engines=3,
    services=1,
    slots=4,
    step_time_ms=deployments.STEP_TIME_MS,
    has_group=False,
)

_PAUSE_BETWEEN_RUNS_S = 1.0
_HEADER = """# Hedges

Written by `python -m chicoryweir_standins hedges`: real processes on loopback, all on
one machine; each run of the command adds a section.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One run of one experiment.

    Attributes:
        experiment: Name of the experiment.
        hedge_after_ms: Value of the setting; None if hedging is off.
        seed: Seed of the arrivals.
        requests: Number of requests sent.
        in_time: Share of requests answered on time (0 to 1).
        first_token_ms: 95th percentile of the time to the first token.
        runs: Engine runs per request.
        processor_ms: CPU time of entries and agents per request.
    """

    experiment: str
    hedge_after_ms: int | None
    seed: int
    requests: int
    in_time: float
    first_token_ms: float
    runs: float
    processor_ms: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's flags."""
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds")
    parser.add_argument("--after-ms", type=int, default=300, help="delay of a hedge")
    parser.add_argument(
        "--output", type=pathlib.Path, default=pathlib.Path("docs/measurements")
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the command; returns its exit code."""
    return signals.run_cancellable(_measure(arguments))


async def _measure(arguments: argparse.Namespace) -> int:
    samples: list[Sample] = []
    for hedge_after_ms in (None, arguments.after_ms):
        samples += await _measure_setting(hedge_after_ms, arguments.seeds)
    section = render_section(samples)
    arguments.output.mkdir(parents=True, exist_ok=True)
    path = arguments.output / "hedging.md"
    page = path.read_text() if path.exists() else _HEADER
    path.write_text(page + section)
    print(section)
    return 0


async def _measure_setting(hedge_after_ms: int | None, seeds: int) -> list[Sample]:
    running_fleet = fleet.create_fleet(SIZE, (WORKSPACE,))
    running_fleet.plan.settings["fleet"]["settings"]["hedge_after_ms"] = hedge_after_ms
    samples = []
    try:
        await running_fleet.start()
        for seed in range(1, seeds + 1):
            for name, share, stalls_engine in (
                ("one engine stalls", LIGHT_LOAD, True),
                ("urgent flood", FLOOD_LOAD, False),
            ):
                sample = await _run(
                    running_fleet, name, share, stalls_engine, hedge_after_ms, seed
                )
                print(sample, flush=True)
                samples.append(sample)
                await asyncio.sleep(_PAUSE_BETWEEN_RUNS_S)
    finally:
        await running_fleet.stop()
    running_fleet.remove_files()
    return samples


async def _run(
    running_fleet: fleet.Fleet,
    experiment: str,
    share: float,
    stalls_engine: bool,
    hedge_after_ms: int | None,
    seed: int,
) -> Sample:
    load = driver.LoadPlan(
        (_build_stream(share),),
        running_fleet.plan.entry_urls,
        SIZE.model_service,
        seed,
    )
    cpu_before_s = _read_cpu_time_s(running_fleet)
    runs_before = await _count_runs(running_fleet)
    async with asyncio.TaskGroup() as group:
        if stalls_engine:
            engines = running_fleet.list_names("engine")
            group.create_task(
                _stall_engine(running_fleet, engines[seed % len(engines)])
            )
        answers = await driver.run_load(load)
    tally = results.Tally()
    for result in answers:
        tally.add(result)
    print(f"  {tally.describe()}")
    runs = await _count_runs(running_fleet) - runs_before
    cpu_time_s = _read_cpu_time_s(running_fleet) - cpu_before_s
    return Sample(
        experiment,
        hedge_after_ms,
        seed,
        tally.count(),
        tally.compute_on_time_share(),
        tally.compute_first_token_ms(95),
        runs / tally.count(),
        1000.0 * cpu_time_s / tally.count(),
    )


def _build_stream(share: float) -> arrivals.Stream:
    """Returns a stream that requests a share of the capacity, 1.0 being all of it."""
    tokens_per_s = SIZE.engines * SIZE.slots * 1000.0 / SIZE.step_time_ms * share
    return arrivals.Stream(
        WORKSPACE,
        "urgent",
        tokens_per_s / deployments.ANSWER_TOKENS,
        DEADLINE_MS,
        max_tokens=deployments.ANSWER_TOKENS,
        end_s=WINDOW_S,
    )


async def _stall_engine(running_fleet: fleet.Fleet, engine: str) -> None:
    url = f"{running_fleet.plan.switchboard_url}/engine/{engine}"
    async with httpx.AsyncClient(timeout=5.0) as client:
        await asyncio.sleep(STALL_START_S)
        for stalled, pause_s in ((True, STALL_DURATION_S), (False, 0.0)):
            reply = await client.post(url, json={"stall": stalled})
            reply.raise_for_status()
            await asyncio.sleep(pause_s)


async def _count_runs(running_fleet: fleet.Fleet) -> int:
    async with httpx.AsyncClient(timeout=5.0) as client:
        reply = await client.get(running_fleet.plan.switchboard_url + "/runs")
    by_body = reply.raise_for_status().json()["by_body"]
    return sum(sum(runs.values()) for runs in by_body.values())


def _read_cpu_time_s(running_fleet: fleet.Fleet) -> float:
    pids = running_fleet.list_pids()
    return sum(
        process_stats.read_cpu_time_s(pid) for pid in (*pids["entry"], *pids["agent"])
    )


def render_section(samples: collections.abc.Sequence[Sample]) -> str:
    """Renders a section of the page with median and worst values over the seeds."""
    seeds = len({sample.seed for sample in samples})
    lines = [
        f"\n## {seeds} seeds, deadline {DEADLINE_MS} ms\n\n"
        f"{SIZE.engines} engines of {SIZE.slots} slots, {SIZE.entries} entries, steps "
        f"of {SIZE.step_time_ms:g} ms,\nanswers of {deployments.ANSWER_TOKENS} tokens, "
        f"urgent requests only, {WINDOW_S:g} s a run. One engine stalls\n"
        f"for {STALL_DURATION_S:g} s while {LIGHT_LOAD:.0%} of the capacity is asked "
        f"for; the flood asks for {FLOOD_LOAD:.0%},\nand nothing stalls. "
        "Processor time is that of entries and agents.\n\n"
        "| experiment | hedge_after_ms | requests | in time, median | worst "
        "| first token p95, median, ms | runs a request | processor ms a request |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |\n"
    ]
    groups: dict[tuple[str, int | None], list[Sample]] = {}
    for sample in samples:
        key = (sample.experiment, sample.hedge_after_ms)
        groups.setdefault(key, []).append(sample)
    for experiment in sorted({experiment for experiment, _ in groups}):
        for (name, _), group in groups.items():
            if name == experiment:
                lines.append(_render_row(group))
    return "".join(lines)


def _render_row(group: list[Sample]) -> str:
    after = group[0].hedge_after_ms
    shares = [100.0 * sample.in_time for sample in group]
    return (
        f"| {group[0].experiment} | {'null' if after is None else after} "
        f"| {sum(sample.requests for sample in group)} "
        f"| {statistics.median(shares):.1f} % | {min(shares):.1f} % "
        f"| {statistics.median(sample.first_token_ms for sample in group):.0f} "
        f"| {statistics.median(sample.runs for sample in group):.3f} "
        f"| {statistics.median(sample.processor_ms for sample in group):.1f} |\n"
    )
