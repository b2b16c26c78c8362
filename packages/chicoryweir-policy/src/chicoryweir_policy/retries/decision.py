"""Decides whether a request whose attempt failed is attempted again."""

from __future__ import annotations

import dataclasses
import functools
import typing

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.retries import backoff
from chicoryweir_policy.retries import budget as budgets
from chicoryweir_policy.retries import failures
from chicoryweir_policy.retries import problems

MIN_REMAINING_S = 0.005
QUARANTINE_LOSSES = 2
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHistory:
    """What happened to a request so far, the failed attempt included.

    Attributes:
        attempts: Attempts made.
        excluded: Instances that must not get it again.
        may_have_run: Whether an earlier attempt may have run.
        losses: Endpoints lost in the fleet while this content ran.
    """

    attempts: int
    excluded: frozenset[str]
    may_have_run: bool
    losses: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """RetryLimits from the settings in force for the request.

    Attributes:
        max_attempts: Most attempts of one request.
        quarantine_losses: Endpoints lost to a content after which it is refused.
    """

    max_attempts: int = MAX_ATTEMPTS
    quarantine_losses: int = QUARANTINE_LOSSES


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is attempted again.

    Attributes:
        after_s: Delay, in seconds.
        excluded: Instances that must not be selected.
        may_have_run: Whether an attempt so far may have run.
    """

    after_s: float
    excluded: frozenset[str]
    may_have_run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """The request ends with a problem."""

    problem: outcomes.Problem


Decision = Retry | Fail

_FREE_REASONS = frozenset(
    {
        messages.RejectReason.LEAVING,
        messages.RejectReason.STALE_SESSION,
        messages.RejectReason.TOMBSTONED,
        messages.RejectReason.ENDPOINT_DOWN,
    }
)
_FINAL_REASONS = frozenset(
    {messages.RejectReason.EXPIRED, messages.RejectReason.CANCELLED}
)
_FINAL_KINDS = frozenset(
    {
        messages.FailureKind.TOO_LARGE,
        messages.FailureKind.CANCELLED,
        messages.FailureKind.INVARIANT,
    }
)


def decide_retry(
    request: requests.Request,
    failure: failures.Failure,
    history: AttemptHistory,
    limits: RetryLimits,
    budget: budgets.Budget,
    now: float,
) -> Decision:
    """Decides what follows a failed attempt.

    An attempt that never reached its endpoint may go to another one whatever the
    request's idempotency, since nothing was sent to a service. Any other failure is
    retried only when the request is idempotent.

    Args:
        request: The request.
        failure: How the latest attempt ended.
        history: What happened so far.
        limits: RetryLimits in force.
        budget: Budget of extra attempts; charged where the retry adds load.
        now: Monotonic time in seconds.
    """
    may_have_run = history.may_have_run or not isinstance(failure, failures.NotStarted)
    end = functools.partial(problems.describe_end, failure, may_have_run)
    if may_have_run and request.idempotency is not requests.Idempotency.IDEMPOTENT:
        return Fail(end("it may not be repeated"))
    if _is_final(failure):
        return Fail(end("a retry can't help"))
    if history.losses >= limits.quarantine_losses:
        return Fail(problems.describe_quarantine(failure.instance, may_have_run))
    if history.attempts >= limits.max_attempts:
        return Fail(end("no attempts are left"))
    after_s = _compute_delay(request, failure, history)
    if now + after_s + MIN_REMAINING_S >= request.deadline_at:
        return Fail(problems.describe_deadline(failure.instance, may_have_run))
    if not _is_free(failure) and not budget.try_spend(now):
        return Fail(end("the retry budget is spent"))
    excluded = history.excluded
    if not _may_return(failure):
        excluded |= {failure.instance}
    return Retry(after_s, excluded, may_have_run)


def _is_final(failure: failures.Failure) -> bool:
    match failure:
        case failures.NotStarted(reason=reason):
            return reason in _FINAL_REASONS
        case failures.Failed(kind=kind):
            return kind in _FINAL_KINDS
        case failures.Lost():
            return False
        case _:
            typing.assert_never(failure)


def _is_free(failure: failures.Failure) -> bool:
    return isinstance(failure, failures.NotStarted) and failure.reason in _FREE_REASONS


def _may_return(failure: failures.Failure) -> bool:
    return (
        isinstance(failure, failures.NotStarted)
        and failure.reason is messages.RejectReason.STALE_SESSION
    )


def _compute_delay(
    request: requests.Request, failure: failures.Failure, history: AttemptHistory
) -> float:
    if _is_free(failure) and history.attempts == 1:
        return 0.0
    return backoff.compute_backoff(history.attempts, request.request_id)
