"""Routes that return, change and list versions of the settings."""

from __future__ import annotations

import asyncio
import secrets
import time
import typing

import litestar

from chicoryweir_daemon.entry.operators import contexts
from chicoryweir_daemon.entry.operators import problems
from chicoryweir_daemon.entry.operators import store_operations
from chicoryweir_policy import store
from chicoryweir_policy.cores import events
from chicoryweir_policy.settings import answers
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads


def make_settings_routes(context: contexts.OperatorContext) -> list[typing.Any]:
    """Returns the route handlers for settings."""

    @litestar.get("/settings")
    async def show_settings(version: int | None = None) -> contexts.Answer:
        return await _show_settings(context, version)

    @litestar.post("/settings", status_code=200)
    async def apply_settings(request: contexts.Request) -> contexts.Answer:
        operator = context.find_operator(request) or ""
        return await _apply_settings(context, operator, await request.body())

    @litestar.get("/settings/history")
    async def list_history() -> contexts.Answer:
        rows = await store_operations.scan_all(
            context.platform_store, answers.HISTORY_SCAN
        )
        if not isinstance(rows, store.Rows):
            return problems.make_problem(503, "Store unavailable", str(rows))
        return problems.render_answer(answers.render_history(rows.rows))

    return [show_settings, apply_settings, list_history]


async def _show_settings(
    context: contexts.OperatorContext, version: int | None
) -> contexts.Answer:
    current_copy = context.core.state.settings.current_copy
    if current_copy is not None and version in (None, current_copy.head.version):
        answer = answers.render_settings(current_copy.head.version, current_copy.data)
        return problems.render_answer(answer)
    if version is None:
        return problems.make_problem(503, "Not ready", "no version is known yet")
    rows = await context.platform_store.run(
        store.Read((heads.make_history_key(version),))
    )
    if not isinstance(rows, store.Rows):
        return problems.make_problem(503, "Store unavailable", str(rows))
    head = heads.parse_head(rows.rows[0].value) if rows.rows else None
    if head is None:
        return problems.render_answer(answers.render_settings(version, None))
    fetched = await context.platform_store.run(store.GetObject(head.object_name))
    if not isinstance(fetched, store.ObjectFetched):
        return problems.make_problem(503, "Store unavailable", str(fetched))
    return problems.render_answer(answers.render_settings(version, fetched.data))


async def _apply_settings(
    context: contexts.OperatorContext, operator: str, body: bytes
) -> contexts.Answer:
    """Checks and applies a change.

    The document is parsed in a thread, as a large one would block the event loop.
    """
    current_copy = context.core.state.settings.current_copy
    base = current_copy.data if current_copy is not None else None
    proposal = await asyncio.to_thread(_read_proposal, body, operator, base)
    if isinstance(proposal, answers.Answer):
        return problems.render_answer(proposal)
    outcome = await store_operations.apply_change(
        proposal, current_copy, context.platform_store
    )
    if isinstance(outcome, changes.Applied):
        context.core_task.post(events.SettingsChanged(outcome.copy))
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
    base_decoding = documents.decode_stored(base) if base is not None else None
    base_document = (
        base_decoding.document if isinstance(base_decoding, documents.Decoded) else None
    )
    return answers.parse_proposal(document, operator, time.time(), base_document)
