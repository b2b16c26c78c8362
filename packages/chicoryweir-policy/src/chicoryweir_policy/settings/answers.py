"""Builds the answers of the operators' HTTP interface from the store's results."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chicoryweir_policy import outcomes
from chicoryweir_policy import store
from chicoryweir_policy.settings import audit
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import faults
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import validation

MAX_DIFFERENCES = 200
MAX_NAME_CHARS = 200
MAX_REASON_CHARS = 2000
STEP = "settings"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Status and JSON body of an HTTP answer.

    With a status of 400 or more, the body is a problem document.
    """

    status: int
    body: dict[str, store.Json]


PAGE_ROWS = 1000
HISTORY_SCAN = store.Scan(heads.HISTORY_PREFIX, limit=PAGE_ROWS)
AUDIT_SCAN = store.Scan(audit.PREFIX, limit=PAGE_ROWS)


def continue_scan(scan: store.Scan, page: store.Rows) -> store.Scan | None:
    """Returns the scan of the page after `page`, or None if it was the last."""
    if len(page.rows) < scan.limit:
        return None
    return dataclasses.replace(scan, after=page.rows[-1].key)


def parse_proposal(
    body: store.Json, operator: str, wall_now: float, base: store.Json = None
) -> changes.Proposal | Answer:
    """Parses and validates the body of a posted change.

    Validating a large document takes long; call this outside the event loop.

    Args:
        body: Body of the request.
        operator: Operator whose key authenticated the request; recorded as the author.
        wall_now: Wall-clock time in seconds, recorded for operators only.
        base: Document in force; parts that equal it skip the schema validation.

    Returns:
        The proposed change, or the answer that rejects it.
    """
    if not isinstance(body, dict):
        return _make_problem(400, "Malformed change", "the body is no JSON object")
    expect_version = body.get("expect_version")
    change_id = body.get("change_id")
    if isinstance(expect_version, bool) or not isinstance(expect_version, int):
        return _make_problem(
            400, "Malformed change", "expect_version is no whole number"
        )
    if not isinstance(change_id, str) or not _is_valid_change_id(change_id):
        return _make_problem(
            400, "Malformed change", "change_id is no short plain name"
        )
    document = body.get("tree")
    found = validation.find_faults(document, base)
    if found:
        answer = _make_problem(422, "Invalid settings", f"{len(found)} faults")
        answer.body["faults"] = [_render_fault(fault) for fault in found]
        return answer
    return changes.Proposal(
        change_id=change_id,
        author=_format_author(operator, body.get("author")),
        at=wall_now,
        reason=str(body.get("reason") or "")[:MAX_REASON_CHARS],
        expect_version=expect_version,
        document=document,
    )


def render_outcome(outcome: changes.Outcome) -> Answer:
    """Returns the answer to a posted change."""
    match outcome:
        case changes.Applied(copy):
            head = copy.head
            return Answer(200, {"version": head.version, "change_id": head.change_id})
        case changes.Conflict(current_version, found):
            answer = _make_problem(
                409, "Conflicting change", "another change came first"
            )
            answer.body["current_version"] = current_version
            answer.body["difference"] = [
                _render_conflict(change) for change in found[:MAX_DIFFERENCES]
            ]
            answer.body["omitted"] = max(0, len(found) - MAX_DIFFERENCES)
            return answer
        case changes.Unavailable(detail):
            return _make_problem(503, "Store unavailable", detail)
        case changes.Unknown(detail):
            unknown = outcomes.Outcome.UNKNOWN
            return _make_problem(504, "Outcome unknown", detail, unknown)
        case _:
            typing.assert_never(outcome)


def render_settings(version: int, data: bytes | None) -> Answer:
    """Returns the answer with the document of one version.

    Args:
        version: Requested version.
        data: Stored document, or None if the version is not stored.
    """
    decoding = documents.decode_stored(data) if data is not None else None
    if not isinstance(decoding, documents.Decoded):
        return _make_problem(404, "No such version", f"version {version} is not kept")
    return Answer(200, {"version": version, "tree": decoding.document})


def render_history(rows: collections.abc.Iterable[store.Row]) -> Answer:
    """Returns the answer that lists the accepted versions, newest first."""
    parsed = [heads.parse_head(row.value) for row in rows]
    kept = [head for head in parsed if head is not None]
    versions: list[store.Json] = [
        {
            "version": head.version,
            "author": head.author,
            "at": head.at,
            "change_id": head.change_id,
            "reason": head.reason,
        }
        for head in sorted(kept, key=lambda head: -head.version)
    ]
    return Answer(200, {"versions": versions})


def render_audit(
    rows: collections.abc.Iterable[store.Row], after: int, limit: int
) -> Answer:
    """Returns the answer with the audit lines after a sequence number."""
    lines = audit.list_lines(rows, after, limit)
    return Answer(200, {"rows": [_render_line(line) for line in lines]})


def _is_valid_change_id(text: str) -> bool:
    alphanumeric = text.replace("-", "").replace("_", "")
    return (
        alphanumeric.isascii()
        and alphanumeric.isalnum()
        and len(text) <= MAX_NAME_CHARS
    )


def _format_author(operator: str, author: store.Json) -> str:
    if not isinstance(author, str) or author in ("", operator):
        return operator
    return f"{operator} ({author[:MAX_NAME_CHARS]})"


def _make_problem(
    status: int,
    title: str,
    detail: str,
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN,
) -> Answer:
    return Answer(
        status,
        {
            "status": status,
            "title": title,
            "detail": detail,
            "outcome": outcome.value,
            "step": STEP,
        },
    )


def _render_fault(fault: faults.Fault) -> store.Json:
    return {
        "path": fault.path,
        "problem": fault.problem,
        "found": fault.found,
        "allowed": fault.allowed,
    }


def _render_conflict(change: difference.Change) -> store.Json:
    return {
        "path": change.path,
        "ours": difference.render_value(change.before),
        "theirs": difference.render_value(change.after),
    }


def _render_line(line: audit.Line) -> store.Json:
    record = line.record
    change = line.change
    return {
        "seq": line.seq,
        "at": record.at,
        "who": record.who,
        "kind": record.kind,
        "path": change.path if change is not None else "",
        "from": difference.render_value(change.before) if change is not None else None,
        "to": difference.render_value(change.after) if change is not None else None,
        "reason": record.reason,
        "change_id": record.record_id,
        "omitted": record.omitted,
    }
