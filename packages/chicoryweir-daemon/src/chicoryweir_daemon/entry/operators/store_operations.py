"""Operations on the store: settings changes, audit trail and complete scans."""

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
    current_copy: copies.Copy | None,
    platform_store: protocols.Store,
) -> changes.Outcome:
    """Applies a settings change, then trims the audit trail if a trim is due.

    Args:
        proposal: Change proposed by an operator.
        current_copy: Settings known to this entry, or None.
        platform_store: Store of the platform.
    """
    step: changes.Step | changes.Outcome
    step = await asyncio.to_thread(
        changes.start_change, proposal, current_copy, time.monotonic()
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
    """Deletes the oldest rows of the audit trail beyond its maximum length."""
    rows = await scan_all(platform_store, answers.AUDIT_SCAN)
    if isinstance(rows, store.Rows):
        plan = audit.plan_trim(rows.rows)
        if plan is not None:
            await platform_store.run(plan)


async def scan_all(platform_store: protocols.Store, scan: store.Scan) -> store.Result:
    """Reads a scan page by page and returns all rows, or the first failed result."""
    rows: list[store.Row] = []
    next_page: store.Scan | None = scan
    while next_page is not None:
        result = await platform_store.run(next_page)
        if not isinstance(result, store.Rows):
            return result
        rows.extend(result.rows)
        next_page = answers.continue_scan(next_page, result)
    return store.Rows(tuple(rows))
