"""Problem documents with which an entry rejects or fails requests."""

from __future__ import annotations

from chicoryweir_policy import outcomes

DEFAULT_RETRY_AFTER_MS = 1000


def make_no_endpoint(
    peer: str, reason: str, outcome: outcomes.Outcome, retry_after_ms: int
) -> outcomes.Problem:
    """Returns the problem for a request that no endpoint can accept."""
    return outcomes.Problem(
        503, "No capacity", reason, outcome, "routing", peer, retry_after_ms
    )


def make_evacuated(
    peer: str, service: str, outcome: outcomes.Outcome, retry_after_ms: int
) -> outcomes.Problem:
    """Returns the problem for a request that only evacuated places could run."""
    return outcomes.Problem(
        503,
        "Place evacuated",
        f"all places where {service} could run it are evacuated",
        outcome,
        "routing",
        peer,
        retry_after_ms,
    )


def make_deadline_passed(peer: str, outcome: outcomes.Outcome) -> outcomes.Problem:
    """Returns the problem for a request whose deadline passed unanswered."""
    return outcomes.Problem(
        504,
        "Deadline passed",
        "the answer was not there at the deadline",
        outcome,
        "dispatch",
        peer,
    )


def make_attempt_broken(peer: str, detail: str) -> outcomes.Problem:
    """Returns the problem for a failed attempt that must not be retried."""
    return outcomes.Problem(
        503, "Run interrupted", detail, outcomes.Outcome.UNKNOWN, "dispatch", peer
    )


def make_attempts_used_up(
    peer: str, detail: str, outcome: outcomes.Outcome, retry_after_ms: int
) -> outcomes.Problem:
    """Returns the problem for a request that has used all its attempts."""
    return outcomes.Problem(
        503, "Attempts used up", detail, outcome, "dispatch", peer, retry_after_ms
    )


def make_too_large(peer: str) -> outcomes.Problem:
    """Returns the problem for an answer above the `max_answer_bytes` setting."""
    return outcomes.Problem(
        503,
        "Answer too large",
        "the answer is over max_answer_bytes",
        outcomes.Outcome.FAILED,
        "answer",
        peer,
    )


def make_claim_unavailable(
    peer: str, detail: str, retry_after_ms: int
) -> outcomes.Problem:
    """Returns the problem for an at-most-once request whose claim write failed."""
    return outcomes.Problem(
        503,
        "Store unavailable",
        detail,
        outcomes.Outcome.NOT_RUN,
        "claim",
        peer,
        retry_after_ms,
    )


def make_other_content(peer: str) -> outcomes.Problem:
    """Returns the problem for a key that was claimed with different content."""
    return outcomes.Problem(
        409,
        "Key used with another request",
        "this Idempotency-Key belongs to a request with another content",
        outcomes.Outcome.NOT_RUN,
        "claim",
        peer,
        field="Idempotency-Key",
    )


def make_already_run(peer: str) -> outcomes.Problem:
    """Returns the problem for a key whose request has already run."""
    return outcomes.Problem(
        409,
        "Already run",
        "a request with this Idempotency-Key ran to its end",
        outcomes.Outcome.ALREADY_RUN,
        "claim",
        peer,
    )


def make_in_progress(peer: str) -> outcomes.Problem:
    """Returns the problem for a key whose request is in progress."""
    return outcomes.Problem(
        409,
        "In progress",
        "a request with this Idempotency-Key is in progress",
        outcomes.Outcome.UNKNOWN,
        "claim",
        peer,
        DEFAULT_RETRY_AFTER_MS,
    )


def make_may_have_run(peer: str) -> outcomes.Problem:
    """Returns the problem for a key whose request may have run, so can't run again."""
    return outcomes.Problem(
        409,
        "May have run",
        "a request with this Idempotency-Key may have run; it is not run again",
        outcomes.Outcome.UNKNOWN,
        "claim",
        peer,
    )


def make_over_limit(peer: str, reason: str, retry_after_ms: int) -> outcomes.Problem:
    """Returns the problem for a request above one of its workspace's limits."""
    return outcomes.Problem(
        429,
        "Over limit",
        f"the workspace is over its limit: {reason}",
        outcomes.Outcome.NOT_RUN,
        "admission",
        peer,
        retry_after_ms,
    )


def make_shed(peer: str, retry_after_ms: int) -> outcomes.Problem:
    """Returns the problem for a request that is shed under overload."""
    return outcomes.Problem(
        503,
        "No capacity",
        "endpoints refuse most of such work of this workspace at present",
        outcomes.Outcome.NOT_RUN,
        "admission",
        peer,
        retry_after_ms,
    )


def make_quarantined(
    peer: str, losses: int, outcome: outcomes.Outcome
) -> outcomes.Problem:
    """Returns the problem for content that was running when endpoints died."""
    return outcomes.Problem(
        422,
        "Request quarantined",
        f"{losses} endpoints died while a request with this content ran",
        outcome,
        "admission",
        peer,
    )
