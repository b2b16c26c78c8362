"""Measures how long a group has no lease holder after its holder is killed."""

from __future__ import annotations

import asyncio
import signal
import time

from chicoryweir_platform import http_store
from chicoryweir_platform import protocols
from chicoryweir_policy import store
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan

_ENTRIES = 3
_KILLS = 2
_TIMEOUT_S = 40.0
_POLL_PERIOD_S = 0.1
_PAUSE_BEFORE_KILL_S = 3.0
_LEASE = f"lease/{plan.GROUP}"


async def time_takeovers() -> list[float | None]:
    """Kills the current lease holder `_KILLS` times; times each takeover.

    Returns the seconds from each kill to the takeover; None if no entry took the lease
    over within `_TIMEOUT_S`.
    """
    print("  lease holders that are killed", flush=True)
    running_fleet = fleet.create_fleet(plan.FleetSize(entries=_ENTRIES))
    try:
        await running_fleet.start()
        client = http_store.create_store(running_fleet.plan.platform_url)
        times = [await _kill_holder(running_fleet, client) for _ in range(_KILLS)]
    finally:
        await running_fleet.stop()
    running_fleet.remove_files()
    return times


async def _kill_holder(
    running_fleet: fleet.Fleet, client: protocols.Store
) -> float | None:
    holder = await _wait_for_holder(client, "")
    if holder is None:
        return None
    await asyncio.sleep(_PAUSE_BEFORE_KILL_S)
    running_fleet.children[holder.partition(":")[0]].send_signal(signal.SIGKILL)
    killed_at = time.monotonic()
    if await _wait_for_holder(client, holder) is None:
        return None
    return time.monotonic() - killed_at


async def _wait_for_holder(client: protocols.Store, previous: str) -> str | None:
    """Returns the lease holder once it differs from `previous`; None on timeout."""
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        rows = await client.run(store.Read((_LEASE,)))
        row = rows.find(_LEASE) if isinstance(rows, store.Rows) else None
        if row is not None and isinstance(row.value, dict):
            holder = str(row.value["holder"])
            if holder and holder != previous:
                return holder
        await asyncio.sleep(_POLL_PERIOD_S)
    return None
