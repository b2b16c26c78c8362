"""Routes that show what the system does, and the one that drains an instance."""

from __future__ import annotations

import dataclasses
import secrets
import time
import typing

import litestar
from litestar import response

from chicoryweir_daemon.entry.operators import changes as changing
from chicoryweir_daemon.entry.operators import desk
from chicoryweir_daemon.entry.operators import problems
from chicoryweir_daemon.entry.operators import reports
from chicoryweir_policy import store
from chicoryweir_policy.cores import draining
from chicoryweir_policy.settings import answers
from chicoryweir_policy.settings import audit
from chicoryweir_policy.settings import documents


def make_state_routes(at: desk.Desk) -> list[typing.Any]:
    """Makes the routes about the system's state."""

    @litestar.get("/status")
    async def show_status() -> desk.Answer:
        status = reports.describe_status(at.core, at.window, at.is_store_up())
        return response.Response(status)

    @litestar.get("/audit")
    async def list_audit(after: int = 0, limit: int = 200) -> desk.Answer:
        return await _list_audit(at, after, min(limit, desk.MAX_PAGE))

    @litestar.get("/explain/{request_id:str}")
    async def explain_request(request_id: str) -> desk.Answer:
        records = await at.explainer.explain(request_id)
        document = {
            "request_id": request_id,
            "found": bool(records),
            "records": records,
        }
        return response.Response(document)

    @litestar.get("/events")
    async def list_events(after: int = 0) -> desk.Answer:
        kept = [dataclasses.asdict(event) for event in at.log.list_after(after)]
        return response.Response({"events": kept})

    @litestar.post("/drain", status_code=200)
    async def drain_instance(request: desk.Request) -> desk.Answer:
        operator = at.find_operator(request) or ""
        return await _drain_instance(at, operator, await request.body())

    return [show_status, list_audit, explain_request, list_events, drain_instance]


async def _list_audit(at: desk.Desk, after: int, limit: int) -> desk.Answer:
    rows = await changing.scan_all(at.platform, answers.AUDIT_SCAN)
    if not isinstance(rows, store.Rows):
        return problems.make_problem(503, "Store unavailable", str(rows))
    return problems.render_answer(answers.render_audit(rows.rows, after, limit))


async def _drain_instance(at: desk.Desk, operator: str, body: bytes) -> desk.Answer:
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
    result = await at.platform.run(store.Transact((), writes))
    match result:
        case store.Committed():
            return response.Response({"change_id": change_id})
        case store.Unknown(detail):
            return problems.make_problem(504, "Outcome unknown", detail)
        case _:
            return problems.make_problem(503, "Store unavailable", str(result))
