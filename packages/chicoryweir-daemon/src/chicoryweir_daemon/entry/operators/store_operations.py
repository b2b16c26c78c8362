"""Applies operators' changes of the settings through the store."""

from __future__ import annotations

import asyncio
import time

from chicoryweir_platform import protocols
from chicoryweir_policy import store
from chicoryweir_policy.settings import answers
from chicoryweir_policy.settings import audit
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import copies


async def apply_change(
    proposal: changes.Proposal,
    held: copies.Copy | None,
    platform_store: protocols.Store,
) -> changes.Outcome:
    """Runs a change to its outcome, then trims the audit trail when that is due."""
    step: changes.Step | changes.Outcome
    step = await asyncio.to_thread(
        changes.start_change, proposal, held, time.monotonic()
    )
    while isinstance(step, changes.Step):
        await asyncio.sleep(max(0.0, step.run.not_before - time.monotonic()))
        result = await platform_store.run(step.run.operation)
        step = await asyncio.to_thread(
            changes.advance_change, step.change, result, time.monotonic()
        )
    if isinstance(step, changes.Applied) and audit.is_trim_due(proposal.change_id):
        await trim_audit(platform_store)
    return step


async def trim_audit(platform_store: protocols.Store) -> None:
    """Deletes the oldest rows of the audit trail beyond its bound."""
    rows = await scan_all(platform_store, answers.AUDIT_SCAN)
    if isinstance(rows, store.Rows):
        plan = audit.plan_trim(rows.rows)
        if plan is not None:
            await platform_store.run(plan)


async def scan_all(platform_store: protocols.Store, scan: store.Scan) -> store.Result:
    """Returns all rows of a scan, page by page."""
    found: list[store.Row] = []
    following: store.Scan | None = scan
    while following is not None:
        page = await platform_store.run(following)
        if not isinstance(page, store.Rows):
            return page
        found.extend(page.rows)
        following = answers.continue_scan(following, page)
    return store.Rows(tuple(found))
