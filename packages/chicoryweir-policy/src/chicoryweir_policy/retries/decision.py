"""Decides whether to retry a request after a failed attempt."""

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
    """Attempts of a request so far, including the failed one.

    Attributes:
        attempts: Number of attempts made.
        excluded: Instances that must not be selected again.
        may_have_run: Whether an earlier attempt may have run.
        losses: Number of endpoints lost in the fleet while this content ran.
    """

    attempts: int
    excluded: frozenset[str]
    may_have_run: bool
    losses: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits from the settings in force for the request.

    Attributes:
        max_attempts: Maximum number of attempts of one request.
        quarantine_losses: Number of endpoint losses after which content is rejected.
    """

    max_attempts: int = MAX_ATTEMPTS
    quarantine_losses: int = QUARANTINE_LOSSES


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is retried.

    Attributes:
        after_s: Delay before the next attempt, in seconds.
        excluded: Instances that must not be selected.
        may_have_run: Whether any attempt so far may have run.
    """

    after_s: float
    excluded: frozenset[str]
    may_have_run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """The request fails with a problem."""

    problem: outcomes.Problem


Decision = Retry | Fail

_UNBUDGETED_REASONS = frozenset(
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
    """Decides whether to retry after a failed attempt.

    An attempt that never reached its endpoint is retried regardless of the request's
    idempotency, since nothing was sent to a service. Any other failure is retried only
    if the request is idempotent.

    Args:
        request: The request.
        failure: Failure of the latest attempt.
        history: Attempts so far.
        limits: Limits in force.
        budget: Budget of extra attempts; spent if the retry adds load.
        now: Present time, monotonic seconds.
    """
    may_have_run = history.may_have_run or not isinstance(failure, failures.NotStarted)
    make_problem = functools.partial(problems.make_failure, failure, may_have_run)
    if may_have_run and request.idempotency is not requests.Idempotency.IDEMPOTENT:
        return Fail(make_problem("it may not be repeated"))
    if _is_final(failure):
        return Fail(make_problem("a retry can't help"))
    if history.losses >= limits.quarantine_losses:
        return Fail(problems.make_quarantined(failure.instance, may_have_run))
    if history.attempts >= limits.max_attempts:
        return Fail(make_problem("no attempts are left"))
    after_s = _compute_delay(request, failure, history)
    if now + after_s + MIN_REMAINING_S >= request.deadline_at:
        return Fail(problems.make_deadline_exceeded(failure.instance, may_have_run))
    if not _is_unbudgeted(failure) and not budget.try_spend(now):
        return Fail(make_problem("the retry budget is spent"))
    excluded = history.excluded
    if not _may_reuse_instance(failure):
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


def _is_unbudgeted(failure: failures.Failure) -> bool:
    return (
        isinstance(failure, failures.NotStarted)
        and failure.reason in _UNBUDGETED_REASONS
    )


def _may_reuse_instance(failure: failures.Failure) -> bool:
    return (
        isinstance(failure, failures.NotStarted)
        and failure.reason is messages.RejectReason.STALE_SESSION
    )


def _compute_delay(
    request: requests.Request, failure: failures.Failure, history: AttemptHistory
) -> float:
    if _is_unbudgeted(failure) and history.attempts == 1:
        return 0.0
    return backoff.compute_backoff(history.attempts, request.request_id)
