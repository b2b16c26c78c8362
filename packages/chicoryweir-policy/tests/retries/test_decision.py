"""Tests of the retry decision."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.retries import budget
from chicoryweir_policy.retries import decision
from chicoryweir_policy.retries import failures

FAILURES = [
    *(failures.NotStarted("agent-1", reason) for reason in messages.RejectReason),
    *(failures.Failed("agent-1", kind) for kind in messages.FailureKind),
    failures.Lost("agent-1"),
]
LEAVING = failures.NotStarted("agent-1", messages.RejectReason.LEAVING)
FULL = failures.NotStarted("agent-1", messages.RejectReason.QUEUE_FULL)
LOST = failures.Failed("agent-1", messages.FailureKind.ENDPOINT_LOST)
FIRST_ATTEMPT = decision.AttemptHistory(1, frozenset(), may_have_run=False, losses=0)


def _decide(request, failure, history=FIRST_ATTEMPT, bucket=None, now=1.0):
    bucket = bucket or budget.TokenBucket(0.0)
    return decision.decide_retry(
        request, failure, history, decision.RetryLimits(), bucket, now
    )


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    failure=strategies.sampled_from(FAILURES),
    idempotency=strategies.sampled_from(requests.Idempotency),
    attempts=strategies.integers(1, 4),
    may_have_run=strategies.booleans(),
    losses=strategies.integers(0, 3),
    now=strategies.floats(0, 12),
)
def test_retries_are_safe_and_not_run_is_reported_only_when_true(
    request_sent, failure, idempotency, attempts, may_have_run, losses, now
):
    request = dataclasses.replace(request_sent, idempotency=idempotency)
    history = decision.AttemptHistory(attempts, frozenset({"x"}), may_have_run, losses)
    outcome = _decide(request, failure, history, now=now)
    ran = may_have_run or not isinstance(failure, failures.NotStarted)
    if isinstance(outcome, decision.Retry):
        assert not ran or idempotency is requests.Idempotency.IDEMPOTENT
        assert now + outcome.after_s < request.deadline_at
        assert attempts < decision.MAX_ATTEMPTS
        assert "x" in outcome.excluded
        assert outcome.may_have_run == ran
    elif ran:
        assert outcome.problem.outcome is not outcomes.Outcome.NOT_RUN
    else:
        assert outcome.problem.outcome is outcomes.Outcome.NOT_RUN


@pytest.mark.parametrize("idempotency", list(requests.Idempotency))
def test_rejected_attempt_is_retried_elsewhere_immediately(request_sent, idempotency):
    request = dataclasses.replace(request_sent, idempotency=idempotency)
    outcome = _decide(request, LEAVING)
    assert outcome == decision.Retry(0.0, frozenset({"agent-1"}), False)


def test_attempt_with_a_stale_session_may_be_retried_on_the_same_instance(request_sent):
    stale = failures.NotStarted("agent-1", messages.RejectReason.STALE_SESSION)
    assert _decide(request_sent, stale).excluded == frozenset()


def test_exhausted_budget_stops_only_retries_that_add_load(request_sent):
    empty_bucket = budget.TokenBucket(0.0, max_tokens=0.0)
    assert _decide(request_sent, FULL, bucket=empty_bucket).problem.status == 503
    assert _decide(request_sent, LOST, bucket=empty_bucket).problem.status == 502
    assert isinstance(
        _decide(request_sent, LEAVING, bucket=empty_bucket), decision.Retry
    )


def test_content_with_two_endpoint_losses_is_quarantined(request_sent):
    history = dataclasses.replace(FIRST_ATTEMPT, losses=2)
    assert _decide(request_sent, LOST, history).problem.status == 422


def test_expired_attempt_or_request_fails_with_status_504(request_sent):
    expired = failures.NotStarted("agent-1", messages.RejectReason.EXPIRED)
    assert _decide(request_sent, expired).problem.status == 504
    assert _decide(request_sent, LOST, now=9.999).problem.status == 504
