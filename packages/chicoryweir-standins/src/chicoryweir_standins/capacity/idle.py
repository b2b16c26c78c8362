"""Measures the resource use of fleets of several sizes that serve no requests."""

from __future__ import annotations

import asyncio
import dataclasses
import re
import time

import httpx

from chicoryweir_standins.bench import process_stats
from chicoryweir_standins.capacity import propagation
from chicoryweir_standins.capacity import slopes
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan

PROCESSOR = "processor time (% of a core)"
MEMORY = "resident memory (MiB)"
SENT = "links, sent (B/s)"
RECEIVED = "links, received (B/s)"
READS = "reads (1/s)"
WRITES = "writes (1/s)"

_STARTUP_PAUSE_S = 3.0
_WINDOW_S = 6.0
_CHANGES = 2
_BYTES_PER_MIB = 1024 * 1024
_ROLES = ("entry", "agent")
_TRAFFIC = re.compile(r'^chicoryweir_link_bytes_total\{direction="(\w+)"\} (\S+)', re.M)


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size of a fleet in which all agents but one share one model engine."""

    entries: int = 2
    agents: int = 4
    workspaces: int = 10


_SHAPES = (
    Shape(),
    Shape(entries=8),
    Shape(agents=16),
    Shape(workspaces=6200),
    Shape(agents=64),
    Shape(entries=4),
    Shape(workspaces=600),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    measured_at: float
    cpu_time_s: dict[int, float]
    traffic: dict[str, dict[str, float]]
    counts: dict[str, int]


async def measure_fleets(samples: list[slopes.Sample]) -> None:
    """Measures fleets of several sizes, one after the other.

    Args:
        samples: List that receives the samples of each fleet once it is measured,
            so that an interrupted run keeps those of earlier fleets.
    """
    for shape in _SHAPES:
        measured = await _measure(shape)
        for driver in dataclasses.fields(Shape):
            if _is_varied(shape, driver.name):
                size = getattr(shape, driver.name)
                samples += [
                    slopes.Sample(role, quantity, driver.name, size, value)
                    for role, quantity, value in measured
                ]


def _is_varied(shape: Shape, driver: str) -> bool:
    """Returns whether a fleet has the default shape except for `driver`."""
    default = Shape()
    return shape == dataclasses.replace(default, **{driver: getattr(shape, driver)})


async def _measure(shape: Shape) -> list[tuple[str, str, float]]:
    print(f"  {shape}", flush=True)
    size = plan.FleetSize(
        entries=shape.entries,
        engines=shape.agents - 1,
        services=1,
        has_group=False,
        shares_engine=True,
    )
    names = tuple(f"workspace-{i}" for i in range(shape.workspaces - 1))
    running_fleet = fleet.create_fleet(size, names)
    try:
        await running_fleet.start()
        await asyncio.sleep(_STARTUP_PAUSE_S)
        async with httpx.AsyncClient(timeout=30.0) as client:
            before = await _take_reading(client, running_fleet)
            await asyncio.sleep(_WINDOW_S)
            after = await _take_reading(client, running_fleet)
            measured = _compute_rates(running_fleet, before, after)
            measured += _measure_memory(running_fleet)
            for change in range(_CHANGES):
                times = await propagation.time_change(client, running_fleet, change)
                measured.append(("fleet", propagation.MEDIAN_QUANTITY, times.median_s))
                measured.append(("fleet", propagation.WORST_QUANTITY, times.worst_s))
    finally:
        await running_fleet.stop()
    running_fleet.remove_files()
    return measured


async def _take_reading(
    client: httpx.AsyncClient, running_fleet: fleet.Fleet
) -> _Reading:
    pids = running_fleet.list_pids()
    cpu_time_s = {p: process_stats.read_cpu_time_s(p) for r in _ROLES for p in pids[r]}
    traffic = {}
    for url in running_fleet.plan.entry_urls:
        text = (await client.get(url + "/metrics")).text
        traffic[url] = {kind: float(value) for kind, value in _TRAFFIC.findall(text)}
    counts = (
        await client.get(running_fleet.plan.platform_url + "/control/counts")
    ).json()
    return _Reading(time.monotonic(), cpu_time_s, traffic, counts)


def _compute_rates(
    running_fleet: fleet.Fleet, before: _Reading, after: _Reading
) -> list[tuple[str, str, float]]:
    elapsed_s = after.measured_at - before.measured_at
    measured = []
    for role, pids in running_fleet.list_pids().items():
        for pid in pids if role in _ROLES else ():
            cpu_time_s = after.cpu_time_s[pid] - before.cpu_time_s[pid]
            measured.append((role, PROCESSOR, 100.0 * cpu_time_s / elapsed_s))
    for url, counters in after.traffic.items():
        for kind, name in (("sent", SENT), ("received", RECEIVED)):
            increase = counters[kind] - before.traffic[url][kind]
            measured.append(("entry", name, increase / elapsed_s))
    for kind, name in (("reads", READS), ("writes", WRITES)):
        increase = after.counts[kind] - before.counts[kind]
        measured.append(("store", name, increase / elapsed_s))
    return measured


def _measure_memory(running_fleet: fleet.Fleet) -> list[tuple[str, str, float]]:
    pids = running_fleet.list_pids()
    return [
        (role, MEMORY, process_stats.read_resident_bytes(pid) / _BYTES_PER_MIB)
        for role in _ROLES
        for pid in pids[role]
    ]
