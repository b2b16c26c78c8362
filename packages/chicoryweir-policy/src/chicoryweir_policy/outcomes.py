"""Final outcomes of requests that end without an answer."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.Enum):
    """What a caller may conclude about the execution of its request.

    Attributes:
        NOT_RUN: It did not run and never will.
        UNKNOWN: It may have run.
        FAILED: It ran and failed.
        ALREADY_RUN: An earlier request with the same idempotency key ran or is running.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    ALREADY_RUN = "already_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why a request ends without an answer (RFC 9457).

    Attributes:
        status: HTTP status.
        title: Short, constant description of the kind of problem.
        detail: What happened to this request.
        outcome: What the caller may conclude.
        step: Processing step that failed, such as `admission` or `dispatch`.
        peer: Instance on which it failed.
        retry_after_ms: Time after which the caller may retry; None if a retry is
            pointless.
        field: Invalid field of the request, or an empty string.
    """

    status: int
    title: str
    detail: str
    outcome: Outcome
    step: str
    peer: str
    retry_after_ms: int | None = None
    field: str = ""
