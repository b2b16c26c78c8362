"""Measures what daemons spend while no request arrives."""

from __future__ import annotations

import asyncio
import time

from chicoryweir_standins.bench import processor
from chicoryweir_standins.capacity import slopes
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan

PROCESSOR = "idle processor time (% of a core)"
MEMORY = "resident memory (MiB)"

_AGENT_COUNTS = (2, 6, 12)
_ENTRY_COUNTS = (1, 4, 8)
_FIXED_AGENTS = 2
_FIXED_ENTRIES = 1
_SETTLE_S = 4.0
_WINDOW_S = 10.0
_MIB = 1024 * 1024
_ROLES = ("entry", "agent")


async def measure_idle() -> list[slopes.Sample]:
    """Measures idle fleets of several sizes, one after the other."""
    samples = []
    for agents in _AGENT_COUNTS:
        samples += await _measure(_FIXED_ENTRIES, agents, "agents", agents)
    for entries in _ENTRY_COUNTS:
        samples += await _measure(entries, _FIXED_AGENTS, "entries", entries)
    return samples


async def _measure(
    entries: int, agents: int, driver: str, size: int
) -> list[slopes.Sample]:
    print(f"  idle, {entries} entries, {agents} agents", flush=True)
    fleet_size = plan.FleetSize(
        entries=entries, engines=agents - 1, services=1, has_group=False
    )
    running = fleet.create_fleet(fleet_size)
    try:
        await running.start()
        await asyncio.sleep(_SETTLE_S)
        pids = running.list_pids()
        samples = []
        spent = {p: processor.read_processor_time(p) for r in _ROLES for p in pids[r]}
        started_at = time.monotonic()
        await asyncio.sleep(_WINDOW_S)
        elapsed_s = time.monotonic() - started_at
        for role in _ROLES:
            for pid in pids[role]:
                busy_s = processor.read_processor_time(pid) - spent[pid]
                share = 100.0 * busy_s / elapsed_s
                memory = processor.read_memory(pid) / _MIB
                samples.append(slopes.Sample(role, PROCESSOR, driver, size, share))
                samples.append(slopes.Sample(role, MEMORY, driver, size, memory))
    finally:
        await running.stop()
    running.remove_files()
    return samples
