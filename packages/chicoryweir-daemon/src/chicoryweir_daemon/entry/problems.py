"""Renders problem documents (RFC 9457) for callers."""

from __future__ import annotations

import json
import math
import typing

from chicoryweir_policy import outcomes

CONTENT_TYPE = "application/problem+json"


def render_problem(
    problem: outcomes.Problem, request_id: str, instance: str
) -> tuple[bytes, list[tuple[bytes, bytes]]]:
    """Returns the JSON body and the headers of a problem answer.

    The document names `instance` as the peer unless the problem has one.
    """
    slug = problem.title.lower().replace(" ", "-")
    document: dict[str, typing.Any] = {
        "type": f"urn:chicoryweir:problem:{slug}",
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "outcome": problem.outcome.value,
        "step": problem.step,
        "peer": problem.peer or instance,
        "request_id": request_id,
    }
    headers = [
        (b"content-type", CONTENT_TYPE.encode()),
        (b"x-request-id", request_id.encode()),
    ]
    if problem.field:
        document["field"] = problem.field
    if problem.retry_after_ms is not None:
        document["retry_after_ms"] = problem.retry_after_ms
        seconds = max(1, math.ceil(problem.retry_after_ms / 1000))
        headers.append((b"retry-after", str(seconds).encode()))
    body = json.dumps(document).encode()
    headers.append((b"content-length", str(len(body)).encode()))
    return body, headers
