"""Decides whether a request can still be answered by its deadline."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import outcomes
from chicoryweir_policy.admission import delay

# Without a margin, the requests that start last before their deadline are the ones
# whose size was underestimated: they run in vain.
RUN_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEstimate:
    """What the decision needs to know of a request.

    Attributes:
        request_id: Identifier of the request.
        cost_tokens: Estimated prompt plus generated tokens.
        deadline_at: Time by which the answer is due, monotonic seconds.
    """

    request_id: str
    cost_tokens: float
    deadline_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request can be answered in time.

    Attributes:
        slack_s: Time to spare before the deadline, in seconds.
    """

    slack_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The request cannot be answered in time and is answered at once.

    Attributes:
        problem: What its caller is told.
    """

    problem: outcomes.Problem


Decision = Admitted | Rejected


def estimate_run(cost_tokens: float, tokens_per_s: float) -> float:
    """Estimates how long a request runs once started, on the safe side.

    Args:
        cost_tokens: Estimated prompt plus generated tokens.
        tokens_per_s: Speed at which one request runs.

    Returns:
        Seconds.
    """
    return RUN_MARGIN * cost_tokens / tokens_per_s


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
        request: The request.
        predicted_wait_s: Time until it would start.
        tokens_per_s: Speed at which one request runs once started.
        now: Present time, monotonic seconds.
        step: Step at which the decision is made.
        peer: Instance that decides.

    Returns:
        Whether it is admitted, else the problem for its caller: 504 when it would be
        late even if it started now, 503 when only the wait makes it late.
    """
    run_s = estimate_run(request.cost_tokens, tokens_per_s)
    left_s = request.deadline_at - now
    slack_s = left_s - predicted_wait_s - run_s
    if slack_s >= 0.0:
        return Admitted(slack_s)
    if run_s > left_s:
        return Rejected(_describe_too_short(left_s, run_s, step, peer))
    late_s = predicted_wait_s + run_s - left_s
    retry_after_ms = delay.compute_retry_after_ms(request.request_id, late_s)
    problem = outcomes.Problem(
        status=503,
        title="No capacity before the deadline",
        detail=(
            f"expected to wait {predicted_wait_s:.3f} s and to run {run_s:.3f} s, "
            f"but the deadline is in {left_s:.3f} s"
        ),
        outcome=outcomes.Outcome.NOT_RUN,
        step=step,
        peer=peer,
        retry_after_ms=retry_after_ms,
    )
    return Rejected(problem)


def _describe_too_short(
    left_s: float, run_s: float, step: str, peer: str
) -> outcomes.Problem:
    if left_s <= 0.0:
        detail = "the deadline has passed"
    else:
        detail = f"expected to run {run_s:.3f} s, but the deadline is in {left_s:.3f} s"
    return outcomes.Problem(
        status=504,
        title="Deadline cannot be met",
        detail=detail,
        outcome=outcomes.Outcome.NOT_RUN,
        step=step,
        peer=peer,
    )
