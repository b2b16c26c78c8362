"""Tests of the hedging decision."""

import dataclasses

import pytest

from chicoryweir_policy import requests
from chicoryweir_policy.retries import budget
from chicoryweir_policy.retries import hedging

SLOW = hedging.Progress(sent_at=0.0, open_attempts=1, answer_begun=False, suspect=False)


def _decide(request, progress=SLOW, after_s=1.0, bucket=None, now=1.0):
    bucket = bucket or budget.TokenBucket(0.0)
    return hedging.decide_hedge(request, progress, after_s, bucket, now)


def test_slow_urgent_request_is_hedged_when_due(request_sent):
    assert _decide(request_sent, now=0.5) == hedging.HedgeLater(1.0)
    assert _decide(request_sent) == hedging.HedgeNow()


@pytest.mark.parametrize(
    "change",
    [
        {"priority": requests.PriorityClass.BULK},
        {"idempotency": requests.Idempotency.AT_MOST_ONCE},
        {"idempotency": requests.Idempotency.ONCE_PER_ARRIVAL},
    ],
)
def test_request_that_is_not_urgent_or_not_idempotent_is_not_hedged(
    request_sent, change
):
    request = dataclasses.replace(request_sent, **change)
    assert _decide(request) == hedging.NoHedge()


@pytest.mark.parametrize(
    "change", [{"open_attempts": 2}, {"answer_begun": True}, {"suspect": True}]
)
def test_request_hedged_before_answered_or_suspect_is_not_hedged(request_sent, change):
    progress = dataclasses.replace(SLOW, **change)
    assert _decide(request_sent, progress) == hedging.NoHedge()


def test_no_hedge_when_disabled_near_deadline_or_out_of_budget(request_sent):
    empty_bucket = budget.TokenBucket(0.0, max_tokens=0.0)
    assert _decide(request_sent, after_s=None) == hedging.NoHedge()
    assert _decide(request_sent, now=9.0) == hedging.NoHedge()
    assert _decide(request_sent, bucket=empty_bucket) == hedging.NoHedge()
