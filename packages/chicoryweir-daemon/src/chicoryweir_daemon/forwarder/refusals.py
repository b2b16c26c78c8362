"""Answers that the entry gives itself."""

from __future__ import annotations

import dataclasses

import msgspec

from chicoryweir_daemon.forwarder import seams
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why a request ends without an endpoint's answer (RFC 9457).

    Attributes:
        status: HTTP status; 408, 421, 429 and 503 promise that it never runs.
        step: Step at which it ended.
        detail: What happened.
        retry_after_s: Time after which coming back helps; None where it does not.
    """

    status: int
    step: str
    detail: str
    retry_after_s: float | None = None


def send_problem(
    answer: callers.Answer,
    dialect: seams.Dialect,
    attempt_id: bytes | None,
    problem: Problem,
) -> None:
    """Answers a request with a problem document."""
    body = msgspec.json.encode(
        {
            "title": heads.get_reason_phrase(problem.status).decode(),
            "status": problem.status,
            "step": problem.step,
            "detail": problem.detail,
        }
    )
    headers = [
        *dialect.write_own(attempt_id),
        (b"Content-Type", b"application/problem+json"),
    ]
    if problem.retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % problem.retry_after_s))
    answer.send(problem.status, headers, body)
