"""Builds the status report for operators."""

from __future__ import annotations

import time
import typing

from chicoryweir_daemon.entry import outcome_window
from chicoryweir_policy import requests
from chicoryweir_policy.cores.entry import core as entry_core
from chicoryweir_policy.routing import views

Json = dict[str, typing.Any]

ON_TIME_TARGETS = {
    requests.PriorityClass.URGENT: 0.99,
    requests.PriorityClass.STANDARD: 0.9,
    requests.PriorityClass.BULK: 0.9,
}
SMALL_WORKSPACES_ON_TIME_TARGET = 0.98
SKEW_TARGET = 1.10
SMALL_WORKSPACE_SHARE = 0.1


def describe_status(
    core: entry_core.EntryCore, window: outcome_window.OutcomeWindow, is_store_up: bool
) -> Json:
    """Returns the measured on-time shares and the state of the system's parts."""
    now = time.monotonic()
    state = core.state
    return {
        "instance": state.config.instance,
        "settings_version": state.settings.version,
        "in_progress": len(state.requests),
        "outcomes": _describe_outcomes(window, now),
        "endpoints": _describe_endpoints(core, now),
        "entries": [
            {
                "instance": entry.instance,
                "place": entry.data_centre,
                "leaving": entry.leaving,
            }
            for entry in core.peers.rank_entries(0, now)
        ],
        "store": {
            "reachable": is_store_up,
            "doing": "" if is_store_up else "at-most-once work is refused as not run",
        },
        "groups": _describe_groups(core, now),
        "places": [
            {
                "place": place.place,
                "evacuated": place.evacuated,
                "has_entries": place.has_entries,
                "has_endpoints": place.has_endpoints,
                "linked_endpoints": place.linked_endpoints,
                "running_requests": place.running_requests,
            }
            for place in core.evacuations.list_places()
        ],
    }


def _describe_outcomes(window: outcome_window.OutcomeWindow, now: float) -> list[Json]:
    described = []
    for priority, target in ON_TIME_TARGETS.items():
        count = window.get_class_counts(priority, now)
        name = f"{priority.name.lower()} in time"
        described.append(_describe_share(name, count, target))
    small = window.get_small_workspace_counts(SMALL_WORKSPACE_SHARE, now)
    described.append(
        _describe_share(
            "small workspaces in time", small, SMALL_WORKSPACES_ON_TIME_TARGET
        )
    )
    return described


def _describe_share(
    name: str, count: outcome_window.OutcomeCount, target: float
) -> Json:
    share = count.on_time_share
    target_met = share >= target
    return {
        "name": name,
        "kept": target_met,
        "measure": round(share, 4),
        "target": target,
        "requests": count.total,
        "doing": "" if target_met else "work that cannot be in time is refused at once",
    }


def _describe_endpoints(core: entry_core.EntryCore, now: float) -> list[Json]:
    state = core.state
    described = []
    for name in sorted(state.agent_links):
        view = state.loads.get_view(name)
        if view is not None:
            endpoint_state = state.endpoints.get_state(name)
            described.append(_describe_endpoint(view, endpoint_state, now))
    return described


def _describe_endpoint(
    view: views.EndpointView, endpoint_state: str, now: float
) -> Json:
    return {
        "instance": view.instance,
        "service": view.service,
        "place": view.data_centre,
        "state": endpoint_state,
        "available": view.is_available("", now),
        "leaving": view.leaving,
        "serving": view.serving,
        "ejected": now < view.ejected_until,
        "evacuated": view.evacuated,
        "unfinished_tokens": round(view.estimate_unfinished_tokens(now), 1),
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
