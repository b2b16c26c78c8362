"""HTTP API for the engine's membership in a lock-step group."""

from __future__ import annotations

import typing

import litestar
from litestar import datastructures
from litestar import params

from chicoryweir_standins.engine import group_member
from chicoryweir_standins.engine import orders
from chicoryweir_standins.engine import rank_map

Json = dict[str, typing.Any]


def _parse_replicas(data: Json) -> rank_map.Replicas:
    return tuple(tuple(int(r) for r in ranks) for ranks in data["map"]["replicas"])


def _check_fence(
    state: datastructures.State, data: Json
) -> litestar.Response[Json] | None:
    stale: orders.Stale | None = state.engine.orders.accept_fence(int(data["fence"]))
    if stale is None:
        return None
    body = {"highest_fence": stale.highest_fence}
    return litestar.Response(body, status_code=409)


def _make_rejection(error: rank_map.RejectedError) -> litestar.Response[Json]:
    return litestar.Response({"detail": str(error)}, status_code=409)


@litestar.get("/group")
async def get_group(state: datastructures.State) -> Json:
    """Returns the rank's map and step, and its expert load since the last read."""
    member: group_member.GroupMember = state.member
    prepared = member.map.prepared
    return {
        "group": member.config.group,
        "incarnation": state.engine.incarnation,
        "step": member.map.step,
        "ranks": [
            {
                "rank": member.config.rank,
                "map_version": member.map.map_version,
                "prepared": prepared.change_id if prepared else None,
                "hold_at": prepared.hold_at if prepared else None,
            }
        ],
        "expert_load": member.expert_counter.read(),
        "step_ms_by_rank": member.step_ms_by_rank,
    }


@litestar.post("/group/join", status_code=200)
async def join_group(
    state: datastructures.State, data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Sets the first map, with which the rank joins the steps."""
    stale = _check_fence(state, data)
    if stale is not None:
        return stale
    try:
        state.member.join(int(data["map_version"]), _parse_replicas(data))
    except rank_map.RejectedError as error:
        return _make_rejection(error)
    return litestar.Response({"joined": True}, status_code=200)


@litestar.post("/group/prepare", status_code=200)
async def prepare_map(
    state: datastructures.State, data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Prepares a map; the rank holds before step `hold_at` until its release."""
    stale = _check_fence(state, data)
    if stale is not None:
        return stale
    change = rank_map.MapChange(
        data["change_id"],
        int(data["map_version"]),
        int(data["hold_at"]),
        _parse_replicas(data),
    )
    try:
        state.member.map.prepare(change)
    except rank_map.RejectedError as error:
        return _make_rejection(error)
    body = {"prepared": True, "step": state.member.map.step}
    return litestar.Response(body, status_code=200)


@litestar.post("/group/release", status_code=200)
async def release_map(
    state: datastructures.State, data: params.JSONBody[Json]
) -> litestar.Response[Json]:
    """Commits or aborts a prepared map."""
    stale = _check_fence(state, data)
    if stale is not None:
        return stale
    state.member.map.release(data["change_id"], bool(data["commit"]))
    return litestar.Response({"released": True}, status_code=200)


ROUTES: list[typing.Any] = [get_group, join_group, prepare_map, release_map]
