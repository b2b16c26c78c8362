"""Tests of the deadline feasibility check."""

from __future__ import annotations

import pytest

from chicoryweir_policy import outcomes
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import feasibility

REQUEST = feasibility.RequestEstimate("r-1", cost_tokens=80.0, deadline_at=10.0)


def test_request_that_meets_its_deadline_is_admitted() -> None:
    decision = feasibility.decide_admission(REQUEST, 3.0, 50.0, now=4.0)
    assert decision == feasibility.Admitted(slack_s=1.0)


def test_request_late_because_of_queueing_gets_a_retry_delay() -> None:
    decision = feasibility.decide_admission(REQUEST, 5.0, 50.0, now=4.0)
    assert isinstance(decision, feasibility.Rejected)
    assert decision.problem.status == 503
    assert decision.problem.outcome is outcomes.Outcome.NOT_RUN
    assert decision.problem.retry_after_ms is not None


@pytest.mark.parametrize("now", [9.0, 10.0, 12.0])
def test_request_late_even_without_queueing_gets_no_retry_delay(now) -> None:
    decision = feasibility.decide_admission(REQUEST, 0.0, 50.0, now=now)
    assert isinstance(decision, feasibility.Rejected)
    assert decision.problem.status == 504
    assert decision.problem.retry_after_ms is None


def test_retry_delay_is_jittered_grows_with_the_wait_and_is_bounded() -> None:
    ids = [f"r-{index}" for index in range(1000)]
    short = [delay.compute_retry_after_ms(i, 2.0) for i in ids]
    long = [delay.compute_retry_after_ms(i, 20.0) for i in ids]
    assert min(short) < 1200 < 2800 < max(short)
    assert all(a < b for a, b in zip(short, long, strict=True))
    assert delay.compute_retry_after_ms("r", 1e9) <= delay.MAX_DELAY_MS
    assert delay.compute_retry_after_ms("r", -1.0) >= delay.MIN_DELAY_MS
