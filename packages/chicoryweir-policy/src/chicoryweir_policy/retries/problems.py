"""Problems with which a request ends when it is not attempted again."""

from __future__ import annotations

import typing

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy.retries import failures

OVERLOAD_RETRY_AFTER_MS = 1000
STEP = "retry"

_ENDED_KINDS = frozenset({messages.FailureKind.TOO_LARGE})


def describe_end(
    failure: failures.Failure, may_have_run: bool, why: str
) -> outcomes.Problem:
    """Describes why a failure is the request's end.

    Args:
        failure: How the latest attempt ended.
        may_have_run: Whether an attempt may have run.
        why: Why there is no further attempt.
    """
    match failure:
        case failures.NotStarted(reason=messages.RejectReason.EXPIRED):
            return describe_deadline(failure.instance, may_have_run)
        case failures.NotStarted():
            return _describe_refusal(failure, may_have_run, why)
        case failures.Failed():
            return _describe_failure(failure, why)
        case failures.Lost():
            return _describe_loss(failure, why)
        case _:
            typing.assert_never(failure)


def _find_outcome(may_have_run: bool) -> outcomes.Outcome:
    return outcomes.Outcome.UNKNOWN if may_have_run else outcomes.Outcome.NOT_RUN


def _describe_refusal(
    failure: failures.NotStarted, may_have_run: bool, why: str
) -> outcomes.Problem:
    return outcomes.Problem(
        status=503,
        title="No capacity",
        detail=f"{failure.instance} refused it ({failure.reason.value}); {why}",
        outcome=_find_outcome(may_have_run),
        step=STEP,
        peer=failure.instance,
        retry_after_ms=failure.retry_after_ms or OVERLOAD_RETRY_AFTER_MS,
    )


def _describe_failure(failure: failures.Failed, why: str) -> outcomes.Problem:
    ended = failure.kind in _ENDED_KINDS
    return outcomes.Problem(
        status=502,
        title="Endpoint failed",
        detail=f"{failure.kind.value}: {failure.detail}; {why}",
        outcome=outcomes.Outcome.FAILED if ended else outcomes.Outcome.UNKNOWN,
        step=STEP,
        peer=failure.instance,
    )


def _describe_loss(failure: failures.Lost, why: str) -> outcomes.Problem:
    return outcomes.Problem(
        status=502,
        title="Endpoint lost",
        detail=f"The link to {failure.instance} broke while it ran; {why}",
        outcome=outcomes.Outcome.UNKNOWN,
        step=STEP,
        peer=failure.instance,
    )


def describe_deadline(peer: str, may_have_run: bool) -> outcomes.Problem:
    """Describes that too little time is left."""
    return outcomes.Problem(
        status=504,
        title="Deadline exceeded",
        detail="Too little time is left for another attempt",
        outcome=_find_outcome(may_have_run),
        step=STEP,
        peer=peer,
    )


def describe_quarantine(peer: str, may_have_run: bool) -> outcomes.Problem:
    """Describes that the content was lost with too many endpoints."""
    return outcomes.Problem(
        status=422,
        title="Quarantined",
        detail="Endpoints were lost while this content ran; it is refused",
        outcome=_find_outcome(may_have_run),
        step=STEP,
        peer=peer,
    )
