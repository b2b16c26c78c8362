"""Routes that show and change the settings."""

from __future__ import annotations

import json
import secrets
import time
import typing

import litestar
from litestar import response

from chicoryweir_daemon.entry.operators import changes as changing
from chicoryweir_daemon.entry.operators import desk
from chicoryweir_daemon.entry.operators import problems
from chicoryweir_daemon.entry.operators import rendering
from chicoryweir_daemon.entry.operators import validation
from chicoryweir_policy import store
from chicoryweir_policy.cores import events
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads


def make_settings_routes(at: desk.Desk) -> list[typing.Any]:
    """Makes the routes about settings."""

    @litestar.get("/settings")
    async def show_settings(version: int | None = None) -> desk.Answer:
        return await _show_settings(at, version)

    @litestar.post("/settings", status_code=200)
    async def apply_settings(request: desk.Request) -> desk.Answer:
        operator = at.find_operator(request) or ""
        return await _apply_settings(at, operator, await request.body())

    @litestar.get("/settings/history")
    async def list_history() -> desk.Answer:
        return await _list_history(at)

    return [show_settings, apply_settings, list_history]


async def _show_settings(at: desk.Desk, version: int | None) -> desk.Answer:
    held = at.core.state.settings.held
    if held is not None and version in (None, held.head.version):
        tree = json.loads(held.data)
        return response.Response({"version": held.head.version, "tree": tree})
    if version is None:
        return problems.make_problem(503, "Not ready", "no version is known yet")
    rows = await at.platform.run(store.Read((heads.make_history_key(version),)))
    if not isinstance(rows, store.Rows):
        return problems.make_problem(503, "Store unavailable", str(rows))
    head = heads.parse_head(rows.rows[0].value) if rows.rows else None
    if head is None:
        return problems.make_problem(404, "Unknown version", f"no version {version}")
    fetched = await at.platform.run(store.GetObject(head.object_name))
    if not isinstance(fetched, store.ObjectFetched) or fetched.data is None:
        return problems.make_problem(503, "Store unavailable", str(fetched))
    return response.Response({"version": version, "tree": json.loads(fetched.data)})


async def _apply_settings(at: desk.Desk, operator: str, body: bytes) -> desk.Answer:
    decoding = documents.decode_document(body)
    if not isinstance(decoding, documents.Decoded):
        return problems.make_problem(400, "Bad request", decoding.detail)
    read = validation.read_change(decoding.document)
    if isinstance(read, str):
        return problems.make_problem(400, "Bad request", read)
    faults = validation.find_faults(read.tree)
    if faults:
        detail = f"the tree has {len(faults)} faults"
        return problems.make_problem(422, "Invalid settings", detail, faults=faults)
    proposal = changes.Proposal(
        change_id=read.change_id or secrets.token_hex(16),
        author=operator,
        at=time.time(),
        reason=read.reason,
        expect_version=read.expect_version,
        document=read.tree,
    )
    outcome = await changing.apply_change(
        proposal, at.core.state.settings.held, at.platform
    )
    return _answer_change(at, outcome)


def _answer_change(at: desk.Desk, outcome: changes.Outcome) -> desk.Answer:
    match outcome:
        case changes.Applied(copy):
            at.task.post(events.SettingsChanged(copy))
            return response.Response({"version": copy.head.version})
        case changes.Conflict(current_version, differing):
            return problems.make_problem(
                409,
                "Conflict",
                f"version {current_version} is in force",
                current_version=current_version,
                difference=[_render_conflict(change) for change in differing],
            )
        case changes.Unavailable(detail):
            return problems.make_problem(503, "Store unavailable", detail)
        case changes.Unknown(detail):
            return problems.make_problem(504, "Outcome unknown", detail)
        case _:
            typing.assert_never(outcome)


def _render_conflict(change: difference.Change) -> desk.Json:
    return {
        "path": change.path,
        "ours": rendering.render_side(change.before),
        "theirs": rendering.render_side(change.after),
    }


async def _list_history(at: desk.Desk) -> desk.Answer:
    rows = await at.platform.run(store.Scan(heads.HISTORY_PREFIX, limit=desk.MAX_PAGE))
    if not isinstance(rows, store.Rows):
        return problems.make_problem(503, "Store unavailable", str(rows))
    found = [heads.parse_head(row.value) for row in rows.rows]
    versions = [
        {
            "version": head.version,
            "author": head.author,
            "at": head.at,
            "change_id": head.change_id,
            "reason": head.reason,
        }
        for head in found
        if head is not None
    ]
    return response.Response({"versions": versions})
