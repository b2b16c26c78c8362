"""Operators of a run, who poll the settings version and apply conflicting changes."""

from __future__ import annotations

import asyncio
import copy
import typing

import httpx

from chicoryweir_standins.launch import fleet
from chicoryweir_standins.soak import observations

_POLL_PERIOD_S = 0.2
_TIMEOUT_S = 5.0
_RACING_OPERATORS = 3

Json = dict[str, typing.Any]


async def watch_versions(
    client: httpx.AsyncClient,
    running_fleet: fleet.Fleet,
    observed: observations.Observations,
    stop: asyncio.Event,
) -> None:
    """Records the settings version in force at each entry until the event is set."""
    names = running_fleet.list_names("entry")
    while not stop.is_set():
        for name, url in zip(names, running_fleet.plan.entry_urls, strict=True):
            version = await _read_version(client, running_fleet, url)
            if version is not None:
                observed.versions.append(observations.ObservedVersion(name, version))
        await asyncio.sleep(_POLL_PERIOD_S)


async def race_operators(
    client: httpx.AsyncClient,
    running_fleet: fleet.Fleet,
    observed: observations.Observations,
    race: int,
) -> None:
    """Applies conflicting changes to one version concurrently through all entries."""
    urls = running_fleet.plan.entry_urls
    current = await _read_settings(client, running_fleet, urls[race % len(urls)])
    if current is None:
        return
    change_results = await asyncio.gather(
        *(
            _apply_change(
                client, running_fleet, current, urls[racer % len(urls)], race, racer
            )
            for racer in range(_RACING_OPERATORS)
        )
    )
    observed.change_results += change_results


async def _apply_change(
    client: httpx.AsyncClient,
    running_fleet: fleet.Fleet,
    current: Json,
    url: str,
    race: int,
    racer: int,
) -> observations.ChangeResult:
    tree = copy.deepcopy(current["tree"])
    settings = tree["fleet"].setdefault("settings", {})
    settings["deadline_ms"] = 10_000 + 10 * race + racer
    change_id = f"race-{race}-{racer}"
    change = {
        "expect_version": current["version"],
        "tree": tree,
        "change_id": change_id,
        "author": "dato",
        "reason": "race",
    }
    try:
        reply = await client.post(
            f"{url}/operator/settings",
            json=change,
            headers=_build_headers(running_fleet),
            timeout=_TIMEOUT_S,
        )
    except httpx.HTTPError:
        return observations.ChangeResult(current["version"], change_id, 0)
    version = reply.json().get("version", 0) if reply.status_code == 200 else 0
    return observations.ChangeResult(
        current["version"], change_id, reply.status_code, int(version)
    )


async def _read_settings(
    client: httpx.AsyncClient, running_fleet: fleet.Fleet, url: str
) -> Json | None:
    try:
        reply = await client.get(
            f"{url}/operator/settings",
            headers=_build_headers(running_fleet),
            timeout=_TIMEOUT_S,
        )
        settings: Json = reply.json()
    except (httpx.HTTPError, ValueError):
        return None
    return settings if reply.status_code == 200 else None


async def _read_version(
    client: httpx.AsyncClient, running_fleet: fleet.Fleet, url: str
) -> int | None:
    try:
        reply = await client.get(
            f"{url}/operator/status",
            headers=_build_headers(running_fleet),
            timeout=_TIMEOUT_S,
        )
        version = reply.json()["settings_version"]
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return None
    return version if isinstance(version, int) else None


def _build_headers(running_fleet: fleet.Fleet) -> dict[str, str]:
    return {"Authorization": f"Bearer {running_fleet.plan.keys.operator}"}
