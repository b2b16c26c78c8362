"""Routes that return the system's state, and the route that drains an instance."""

from __future__ import annotations

import dataclasses
import secrets
import time
import typing

import litestar
from litestar import response

from chicoryweir_daemon.entry.operators import contexts
from chicoryweir_daemon.entry.operators import problems
from chicoryweir_daemon.entry.operators import reports
from chicoryweir_daemon.entry.operators import store_operations
from chicoryweir_policy import store
from chicoryweir_policy.cores import draining
from chicoryweir_policy.settings import answers
from chicoryweir_policy.settings import audit
from chicoryweir_policy.settings import documents


def make_state_routes(context: contexts.OperatorContext) -> list[typing.Any]:
    """Returns the route handlers for the system's state."""

    @litestar.get("/status")
    async def show_status() -> contexts.Answer:
        status = reports.describe_status(
            context.core, context.window, context.is_store_up()
        )
        return response.Response(status)

    @litestar.get("/audit")
    async def list_audit(after: int = 0, limit: int = 200) -> contexts.Answer:
        return await _list_audit(context, after, min(limit, contexts.MAX_PAGE_RECORDS))

    @litestar.get("/explain/{request_id:str}")
    async def explain_request(request_id: str) -> contexts.Answer:
        records = await context.explainer.explain(request_id)
        document = {
            "request_id": request_id,
            "found": bool(records),
            "records": records,
        }
        return response.Response(document)

    @litestar.get("/events")
    async def list_events(after: int = 0) -> contexts.Answer:
        logged = [dataclasses.asdict(event) for event in context.log.list_after(after)]
        return response.Response({"events": logged})

    @litestar.post("/drain", status_code=200)
    async def drain_instance(request: contexts.Request) -> contexts.Answer:
        operator = context.find_operator(request) or ""
        return await _drain_instance(context, operator, await request.body())

    return [show_status, list_audit, explain_request, list_events, drain_instance]


async def _list_audit(
    context: contexts.OperatorContext, after: int, limit: int
) -> contexts.Answer:
    rows = await store_operations.scan_all(context.platform_store, answers.AUDIT_SCAN)
    if not isinstance(rows, store.Rows):
        return problems.make_problem(503, "Store unavailable", str(rows))
    return problems.render_answer(answers.render_audit(rows.rows, after, limit))


async def _drain_instance(
    context: contexts.OperatorContext, operator: str, body: bytes
) -> contexts.Answer:
    decoding = documents.decode_document(body)
    document = decoding.document if isinstance(decoding, documents.Decoded) else None
    instance = document.get("instance") if isinstance(document, dict) else None
    if not isinstance(instance, str) or not instance:
        detail = "expected an object with the name of an instance"
        return problems.make_problem(400, "Bad request", detail)
    change_id = secrets.token_hex(16)
    record = audit.Record(change_id, time.time(), operator, "drain", instance)
    row: store.Json = {"by": operator, "at": time.time(), "change_id": change_id}
    writes = (
        store.Write(draining.make_drain_key(instance), row),
        audit.make_write(record),
    )
    result = await context.platform_store.run(store.Transact((), writes))
    match result:
        case store.Committed():
            return response.Response({"change_id": change_id})
        case store.Unknown(detail):
            return problems.make_problem(504, "Outcome unknown", detail)
        case _:
            return problems.make_problem(503, "Store unavailable", str(result))
