"""What an operator is told of the present state."""

from __future__ import annotations

import time
import typing

from chicoryweir_daemon.entry import windows
from chicoryweir_policy import requests
from chicoryweir_policy.cores.entry import core as entry_core
from chicoryweir_policy.routing import views

Json = dict[str, typing.Any]

IN_TIME_TARGETS = {
    requests.PriorityClass.URGENT: 0.99,
    requests.PriorityClass.STANDARD: 0.9,
    requests.PriorityClass.BULK: 0.9,
}
SMALL_IN_TIME_TARGET = 0.98
SKEW_TARGET = 1.10
SMALL_SHARE = 0.1


def describe_status(
    core: entry_core.EntryCore, window: windows.Window, store_up: bool
) -> Json:
    """Returns whether each outcome is kept now, and what is wrong."""
    now = time.monotonic()
    state = core.state
    return {
        "instance": state.facts.instance,
        "settings_version": state.settings.version,
        "in_progress": len(state.requests),
        "outcomes": _describe_outcomes(window, now),
        "endpoints": _describe_endpoints(core, now),
        "entries": [
            {
                "instance": item.instance,
                "place": item.data_centre,
                "leaving": item.leaving,
            }
            for item in core.peers.rank_entries(0, now)
        ],
        "store": {
            "reachable": store_up,
            "doing": "" if store_up else "at-most-once work is refused as not run",
        },
        "groups": _describe_groups(core, now),
    }


def _describe_outcomes(window: windows.Window, now: float) -> list[Json]:
    described = []
    for priority, target in IN_TIME_TARGETS.items():
        counted = window.count_class(priority, now)
        name = f"{priority.name.lower()} in time"
        described.append(_describe_share(name, counted, target))
    small = window.count_small(SMALL_SHARE, now)
    described.append(
        _describe_share("small workspaces in time", small, SMALL_IN_TIME_TARGET)
    )
    return described


def _describe_share(name: str, counted: windows.Counted, target: float) -> Json:
    share = counted.share
    kept = share >= target
    return {
        "name": name,
        "kept": kept,
        "measure": round(share, 4),
        "target": target,
        "requests": counted.total,
        "doing": "" if kept else "work that cannot be in time is refused at once",
    }


def _describe_endpoints(core: entry_core.EntryCore, now: float) -> list[Json]:
    state = core.state
    described = []
    for name in sorted(state.agents):
        view = state.loads.get_view(name)
        if view is not None:
            life = state.endpoints.get_state(name)
            described.append(_describe_endpoint(view, life, now))
    return described


def _describe_endpoint(view: views.EndpointView, life: str, now: float) -> Json:
    return {
        "instance": view.instance,
        "service": view.service,
        "place": view.data_centre,
        "state": life,
        "available": view.is_available("", now),
        "leaving": view.leaving,
        "serving": view.serving,
        "ejected": now < view.ejected_until,
        "unfinished_tokens": round(view.estimate_tokens(now), 1),
    }


def _describe_groups(core: entry_core.EntryCore, now: float) -> list[Json]:
    described = []
    for group in core.groups.list_held(now):
        coordinator = core.groups.find_core(group)
        if coordinator is None:
            continue
        statuses = coordinator.find_statuses(group)
        described.append(
            {
                "group": group,
                "change": coordinator.find_change_state(group),
                "maps": sorted({status.map_version for status in statuses}),
                "steps": sorted({status.step for status in statuses}),
            }
        )
    return described
