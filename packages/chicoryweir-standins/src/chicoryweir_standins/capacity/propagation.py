"""Measures how long a settings change takes to reach every daemon."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import json
import pathlib
import statistics
import time

import httpx

from chicoryweir_policy import catalogue
from chicoryweir_standins.launch import fleet

MEDIAN_QUANTITY = "settings in force after (s), median"
WORST_QUANTITY = "settings in force after (s), worst"

_TIMEOUT_S = 20.0
_POLL_PERIOD_S = 0.25
_ROLES = ("entry", "agent")


@dataclasses.dataclass(frozen=True, slots=True)
class PropagationTimes:
    """Seconds from the answer to the operator until the daemons adopt the change."""

    median_s: float
    worst_s: float


async def time_change(
    client: httpx.AsyncClient, running_fleet: fleet.Fleet, change: int
) -> PropagationTimes:
    """Applies one change and waits until every daemon has adopted it.

    A time is negative if the daemon adopted the change before the operator got the
    answer. A daemon that has not adopted it after `_TIMEOUT_S` counts with that time.
    """
    url = running_fleet.plan.entry_urls[change % len(running_fleet.plan.entry_urls)]
    headers = {"Authorization": f"Bearer {running_fleet.plan.keys.operator}"}
    path = f"{url}/operator/settings"
    reply = await client.get(path, headers=headers)
    current = reply.raise_for_status().json()
    tree = current["tree"]
    tree["fleet"].setdefault("settings", {})["deadline_ms"] = 10_000 + change
    document = {
        "expect_version": current["version"],
        "tree": tree,
        "change_id": f"capacity-{change}",
        "reason": "capacity",
    }
    answer = await client.post(path, headers=headers, json=document)
    answered_at = time.time()
    version = int(answer.raise_for_status().json()["version"])
    return await _wait_for_adoption(running_fleet, version, answered_at)


async def _wait_for_adoption(
    running_fleet: fleet.Fleet, version: int, answered_at: float
) -> PropagationTimes:
    names = [name for role in _ROLES for name in running_fleet.list_names(role)]
    pending = set(names)
    times: list[float] = []
    while pending and time.time() < answered_at + _TIMEOUT_S:
        await asyncio.sleep(_POLL_PERIOD_S)
        for name in sorted(pending):
            adopted_at = find_adoption_time(
                running_fleet.directory / f"{name}.log", version
            )
            if adopted_at is not None:
                pending.discard(name)
                times.append(adopted_at - answered_at)
    times += [_TIMEOUT_S] * len(pending)
    return PropagationTimes(statistics.median(times), max(times))


def find_adoption_time(log: pathlib.Path, version: int) -> float | None:
    """Returns the Unix time at which a daemon's log reports adopting a version."""
    for line in log.read_text(errors="replace").splitlines():
        if not line.startswith("{"):
            continue
        event = json.loads(line)
        if event.get("event_id") != catalogue.SETTINGS_ADOPTED:
            continue
        if event["detail"] == str(version):
            return datetime.datetime.fromisoformat(event["timestamp"]).timestamp()
    return None
