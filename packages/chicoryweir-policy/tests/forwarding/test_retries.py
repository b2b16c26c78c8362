"""Tests of the decision after a failed attempt."""

import dataclasses

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import retries

KINDS = (
    (configuration.RouteKind.IDEMPOTENT, False),
    (configuration.RouteKind.NON_IDEMPOTENT, False),
    (configuration.RouteKind.STREAM, False),
    (configuration.RouteKind.STREAM, True),
)
ROUTE = configuration.Route(
    "r",
    "h",
    "/",
    configuration.RouteKind.IDEMPOTENT,
    False,
    8.0,
    0.5,
    0.1,
    0,
    2,
    False,
    (),
)


@hypothesis.given(
    strategies.sampled_from(KINDS),
    strategies.sampled_from(retries.Failure),
    strategies.integers(0, 4),
    strategies.integers(0, 4),
    strategies.integers(0, 4),
    strategies.booleans(),
    strategies.integers(0, 9),
    strategies.floats(-5.0, 5.0),
    strategies.floats(-1.0, 8.0),
    strategies.integers(1, 3),
)
def test_decision_keeps_invariants_for_any_history(
    kind,
    failure,
    deliveries,
    attempts,
    runs,
    answer_begun,
    requeues,
    budget,
    remaining_s,
    max_attempts,
):
    route = dataclasses.replace(
        ROUTE, kind=kind[0], resumable=kind[1], max_attempts=max_attempts
    )
    runs += not failure.proves_not_run
    history = retries.AttemptHistory(deliveries, attempts, runs, answer_begun, requeues)
    decision = retries.decide_retry(route, failure, history, budget, remaining_s)
    match decision:
        case retries.Retry(charged):
            assert route.retryable or failure.proves_not_run
            assert attempts < max_attempts
            assert charged == (deliveries > 0)
            assert remaining_s >= retries.MIN_USEFUL_S
            assert not charged or budget >= 1.0
        case retries.Reject():
            assert runs == 0
            assert not answer_begun
        case retries.Fail():
            assert runs > 0
            assert not answer_begun
        case retries.Abort():
            assert answer_begun
        case retries.PassOn():
            assert failure is retries.Failure.ERROR
            assert not answer_begun


def test_non_idempotent_request_is_not_retried_after_broken_connection():
    route = dataclasses.replace(ROUTE, kind=configuration.RouteKind.NON_IDEMPOTENT)
    history = retries.AttemptHistory(1, 1, 1, False, 0)
    decision = retries.decide_retry(route, retries.Failure.BROKEN, history, 9.0, 3.0)
    assert isinstance(decision, retries.Fail)


def test_misdirected_request_is_retried_even_if_not_idempotent():
    route = dataclasses.replace(
        ROUTE, kind=configuration.RouteKind.NON_IDEMPOTENT, max_attempts=1
    )
    failure = retries.Failure.MISDIRECTED
    history = retries.AttemptHistory(1, 0, 0, False, 1)
    with_budget = retries.decide_retry(route, failure, history, 1.0, 3.0)
    without_budget = retries.decide_retry(route, failure, history, 0.5, 3.0)
    assert with_budget == retries.Retry(charged=True)
    assert isinstance(without_budget, retries.Reject)


def test_retry_after_unsent_attempt_needs_no_budget():
    history = retries.AttemptHistory(0, 0, 0, False, 1)
    decision = retries.decide_retry(ROUTE, retries.Failure.NOT_SENT, history, 0.0, 3.0)
    assert decision == retries.Retry(charged=False)


def test_broken_stream_is_resumed_while_budget_remains():
    route = dataclasses.replace(
        ROUTE, kind=configuration.RouteKind.STREAM, resumable=True
    )
    history = retries.AttemptHistory(1, 1, 1, True, 0)
    with_budget = retries.decide_retry(route, retries.Failure.BROKEN, history, 1.0, 3.0)
    without_budget = retries.decide_retry(
        route, retries.Failure.BROKEN, history, 0.5, 3.0
    )
    assert with_budget == retries.Retry(charged=True)
    assert isinstance(without_budget, retries.Abort)
