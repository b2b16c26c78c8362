"""Decides whether a slow request gets a second attempt beside the first."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import requests
from chicoryweir_policy.retries import budget as budgets

HEDGE_RATIO = 0.05
MIN_REMAINING_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeNow:
    """A second attempt starts now, on an endpoint that has none of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeLater:
    """The decision is due again at this monotonic time in seconds."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoHedge:
    """The request gets no second attempt."""


Decision = HedgeNow | HedgeLater | NoHedge


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far the attempts of a request have come.

    Attributes:
        sent_at: Time at which the running attempt was sent.
        attempts_open: Attempts that have not ended.
        answer_begun: Whether any of the answer has come.
        suspect: Whether an endpoint was lost while this content ran.
    """

    sent_at: float
    attempts_open: int
    answer_begun: bool
    suspect: bool


def decide_hedge(
    request: requests.Request,
    progress: Progress,
    hedge_after_s: float | None,
    budget: budgets.Budget,
    now: float,
) -> Decision:
    """Decides whether to hedge an urgent idempotent request.

    Args:
        request: The request.
        progress: How far its attempts have come.
        hedge_after_s: Delay before a hedge; None where hedging is off.
        budget: Budget of hedges; charged by a hedge.
        now: Monotonic time in seconds.
    """
    if hedge_after_s is None or not _may_hedge(request, progress):
        return NoHedge()
    due_at = progress.sent_at + hedge_after_s
    if now < due_at:
        return HedgeLater(due_at)
    allowed_s = request.deadline_at - request.arrived_at
    if request.deadline_at - now < MIN_REMAINING_SHARE * allowed_s:
        return NoHedge()
    return HedgeNow() if budget.try_spend(now) else NoHedge()


def _may_hedge(request: requests.Request, progress: Progress) -> bool:
    return (
        request.priority is requests.PriorityClass.URGENT
        and request.idempotency is requests.Idempotency.IDEMPOTENT
        and progress.attempts_open == 1
        and not progress.answer_begun
        and not progress.suspect
    )
