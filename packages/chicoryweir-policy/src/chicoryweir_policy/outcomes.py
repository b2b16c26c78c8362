"""Final outcomes of a request that was not answered."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.Enum):
    """What a caller may conclude about the run of its request.

    Attributes:
        NOT_RUN: It never ran and never will.
        UNKNOWN: It may have run.
        FAILED: It ran and failed.
        ALREADY_RUN: An earlier request with its key ran or is running.
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
        step: Step at which the error arose, such as `admission` or `dispatch`.
        peer: Instance at which it arose.
        retry_after_ms: Time after which coming back helps; None where it does not.
        field: Field of the request at fault, or an empty string.
    """

    status: int
    title: str
    detail: str
    outcome: Outcome
    step: str
    peer: str
    retry_after_ms: int | None = None
    field: str = ""
