"""Admission check of whether a request can finish before its deadline."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import outcomes
from chicoryweir_policy.admission import delay

# Requests that start just in time for their deadline are mostly those of underestimated
# size. Without a margin, they run but finish late.
RUN_TIME_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEstimate:
    """Estimated size and deadline of a request.

    Attributes:
        request_id: Identifier of the request.
        cost_tokens: Estimated prompt plus generated tokens.
        deadline_at: Deadline of the answer, monotonic seconds.
    """

    request_id: str
    cost_tokens: float
    deadline_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request can be answered by its deadline.

    Attributes:
        slack_s: Expected time from the end of the answer to the deadline, in seconds.
    """

    slack_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request cannot be answered by its deadline and is rejected.

    Attributes:
        problem: Problem returned to the caller.
    """

    problem: outcomes.Problem


Decision = Admitted | Rejected


def estimate_run_time(cost_tokens: float, tokens_per_s: float) -> float:
    """Estimates the run time of a request, including a safety margin.

    Args:
        cost_tokens: Estimated prompt plus generated tokens.
        tokens_per_s: Throughput of one running request.

    Returns:
        Run time in seconds.
    """
    return RUN_TIME_MARGIN * cost_tokens / tokens_per_s


def decide_admission(
    request: RequestEstimate,
    predicted_wait_s: float,
    tokens_per_s: float,
    now: float,
    step: str = "admission",
    peer: str = "",
) -> Decision:
    """Decides whether a request can be answered by its deadline.

    Args:
        request: Estimated size and deadline of the request.
        predicted_wait_s: Predicted time in the queue, in seconds.
        tokens_per_s: Throughput of one running request.
        now: Present time, monotonic seconds.
        step: Processing step stated in the problem.
        peer: Instance stated in the problem, which makes this decision.

    Returns:
        `Admitted`, or `Rejected`: with status 504 if the request would be late even
        without queueing, with status 503 if only the queueing makes it late.
    """
    run_s = estimate_run_time(request.cost_tokens, tokens_per_s)
    remaining_s = request.deadline_at - now
    slack_s = remaining_s - predicted_wait_s - run_s
    if slack_s >= 0.0:
        return Admitted(slack_s)
    if run_s > remaining_s:
        return Rejected(_make_deadline_problem(remaining_s, run_s, step, peer))
    late_s = predicted_wait_s + run_s - remaining_s
    retry_after_ms = delay.compute_retry_after_ms(request.request_id, late_s)
    problem = outcomes.Problem(
        status=503,
        title="No capacity before the deadline",
        detail=(
            f"expected to wait {predicted_wait_s:.3f} s and to run {run_s:.3f} s, "
            f"but the deadline is in {remaining_s:.3f} s"
        ),
        outcome=outcomes.Outcome.NOT_RUN,
        step=step,
        peer=peer,
        retry_after_ms=retry_after_ms,
    )
    return Rejected(problem)


def _make_deadline_problem(
    remaining_s: float, run_s: float, step: str, peer: str
) -> outcomes.Problem:
    if remaining_s <= 0.0:
        detail = "the deadline has passed"
    else:
        detail = (
            f"expected to run {run_s:.3f} s, but the deadline is in {remaining_s:.3f} s"
        )
    return outcomes.Problem(
        status=504,
        title="Deadline cannot be met",
        detail=detail,
        outcome=outcomes.Outcome.NOT_RUN,
        step=step,
        peer=peer,
    )
