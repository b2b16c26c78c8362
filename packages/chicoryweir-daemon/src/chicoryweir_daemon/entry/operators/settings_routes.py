"""Routes that show and change the settings."""

from __future__ import annotations

import asyncio
import secrets
import time
import typing

import litestar

from chicoryweir_daemon.entry.operators import changes as changing
from chicoryweir_daemon.entry.operators import desk
from chicoryweir_daemon.entry.operators import problems
from chicoryweir_policy import store
from chicoryweir_policy.cores import events
from chicoryweir_policy.settings import answers
from chicoryweir_policy.settings import changes
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
        rows = await changing.scan_all(at.platform, answers.HISTORY_SCAN)
        if not isinstance(rows, store.Rows):
            return problems.make_problem(503, "Store unavailable", str(rows))
        return problems.render_answer(answers.render_history(rows.rows))

    return [show_settings, apply_settings, list_history]


async def _show_settings(at: desk.Desk, version: int | None) -> desk.Answer:
    held = at.core.state.settings.current_copy
    if held is not None and version in (None, held.head.version):
        answer = answers.render_settings(held.head.version, held.data)
        return problems.render_answer(answer)
    if version is None:
        return problems.make_problem(503, "Not ready", "no version is known yet")
    rows = await at.platform.run(store.Read((heads.make_history_key(version),)))
    if not isinstance(rows, store.Rows):
        return problems.make_problem(503, "Store unavailable", str(rows))
    head = heads.parse_head(rows.rows[0].value) if rows.rows else None
    if head is None:
        return problems.render_answer(answers.render_settings(version, None))
    fetched = await at.platform.run(store.GetObject(head.object_name))
    if not isinstance(fetched, store.ObjectFetched):
        return problems.make_problem(503, "Store unavailable", str(fetched))
    return problems.render_answer(answers.render_settings(version, fetched.data))


async def _apply_settings(at: desk.Desk, operator: str, body: bytes) -> desk.Answer:
    """Checks and applies a change; large documents are checked off the event loop."""
    held = at.core.state.settings.current_copy
    base = held.data if held is not None else None
    proposal = await asyncio.to_thread(_read_proposal, body, operator, base)
    if isinstance(proposal, answers.Answer):
        return problems.render_answer(proposal)
    outcome = await changing.apply_change(proposal, held, at.platform)
    if isinstance(outcome, changes.Applied):
        at.task.post(events.SettingsChanged(outcome.copy))
    return problems.render_answer(answers.render_outcome(outcome))


def _read_proposal(
    body: bytes, operator: str, base: bytes | None
) -> changes.Proposal | answers.Answer:
    decoding = documents.decode_document(body)
    if not isinstance(decoding, documents.Decoded):
        return answers.parse_proposal(None, operator, time.time())
    document = decoding.document
    if isinstance(document, dict) and not document.get("change_id"):
        document["change_id"] = secrets.token_hex(16)
    known = documents.decode_stored(base) if base is not None else None
    in_force = known.document if isinstance(known, documents.Decoded) else None
    return answers.parse_proposal(document, operator, time.time(), in_force)
