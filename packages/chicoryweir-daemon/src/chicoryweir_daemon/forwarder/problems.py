"""Problem documents that the entry sends to callers."""

from __future__ import annotations

import dataclasses

import msgspec

from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Reason why a request ends without an endpoint's answer (RFC 9457).

    Attributes:
        status: HTTP status; 408, 421, 429 and 503 guarantee that the request did not
            run and won't run.
        step: Step at which the request ended.
        detail: Description of the failure.
        retry_after_s: Time after which a retry may succeed, in seconds; None if no
            retry will.
    """

    status: int
    step: str
    detail: str
    retry_after_s: float | None = None


def send_problem(
    answer: callers.Answer,
    header_codec: interfaces.HeaderCodec,
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
        *header_codec.write_own_answer(attempt_id),
        (b"Content-Type", b"application/problem+json"),
    ]
    if problem.retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % problem.retry_after_s))
    answer.send(problem.status, headers, body)
