"""Problems returned for requests that are not retried."""

from __future__ import annotations

import typing

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy.retries import failures

OVERLOAD_RETRY_AFTER_MS = 1000
STEP = "retry"

_COMPLETED_KINDS = frozenset({messages.FailureKind.TOO_LARGE})


def make_failure(
    failure: failures.Failure, may_have_run: bool, why: str
) -> outcomes.Problem:
    """Makes the problem for a request whose latest attempt failed.

    Args:
        failure: Failure of the latest attempt.
        may_have_run: Whether any attempt may have run.
        why: Reason for which there is no retry.
    """
    match failure:
        case failures.NotStarted(reason=messages.RejectReason.EXPIRED):
            return make_deadline_exceeded(failure.instance, may_have_run)
        case failures.NotStarted():
            return _make_rejection(failure, may_have_run, why)
        case failures.Failed():
            return _make_endpoint_failure(failure, why)
        case failures.Lost():
            return _make_link_loss(failure, why)
        case _:
            typing.assert_never(failure)


def _get_outcome(may_have_run: bool) -> outcomes.Outcome:
    return outcomes.Outcome.UNKNOWN if may_have_run else outcomes.Outcome.NOT_RUN


def _make_rejection(
    failure: failures.NotStarted, may_have_run: bool, why: str
) -> outcomes.Problem:
    return outcomes.Problem(
        status=503,
        title="No capacity",
        detail=f"{failure.instance} refused it ({failure.reason.value}); {why}",
        outcome=_get_outcome(may_have_run),
        step=STEP,
        peer=failure.instance,
        retry_after_ms=failure.retry_after_ms or OVERLOAD_RETRY_AFTER_MS,
    )


def _make_endpoint_failure(failure: failures.Failed, why: str) -> outcomes.Problem:
    ended = failure.kind in _COMPLETED_KINDS
    return outcomes.Problem(
        status=502,
        title="Endpoint failed",
        detail=f"{failure.kind.value}: {failure.detail}; {why}",
        outcome=outcomes.Outcome.FAILED if ended else outcomes.Outcome.UNKNOWN,
        step=STEP,
        peer=failure.instance,
    )


def _make_link_loss(failure: failures.Lost, why: str) -> outcomes.Problem:
    return outcomes.Problem(
        status=502,
        title="Endpoint lost",
        detail=f"The link to {failure.instance} broke while it ran; {why}",
        outcome=outcomes.Outcome.UNKNOWN,
        step=STEP,
        peer=failure.instance,
    )


def make_deadline_exceeded(peer: str, may_have_run: bool) -> outcomes.Problem:
    """Makes the problem for a request with too little time for a retry."""
    return outcomes.Problem(
        status=504,
        title="Deadline exceeded",
        detail="Too little time is left for another attempt",
        outcome=_get_outcome(may_have_run),
        step=STEP,
        peer=peer,
    )


def make_quarantined(peer: str, may_have_run: bool) -> outcomes.Problem:
    """Makes the problem for content that ran on too many lost endpoints."""
    return outcomes.Problem(
        status=422,
        title="Quarantined",
        detail="Endpoints were lost while this content ran; it is refused",
        outcome=_get_outcome(may_have_run),
        step=STEP,
        peer=peer,
    )
