"""Decides whether to hedge a slow request with a second, parallel attempt."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import requests
from chicoryweir_policy.retries import budget as budgets

HEDGE_RATIO = 0.05
# Share of the time between arrival and deadline.
MIN_REMAINING_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeNow:
    """Start a second attempt now, on another endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class HedgeLater:
    """Decide again at the time `at`, monotonic seconds."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoHedge:
    """Do not hedge the request."""


Decision = HedgeNow | HedgeLater | NoHedge


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Progress of the attempts of a request.

    Attributes:
        sent_at: Time at which the running attempt was sent, monotonic seconds.
        open_attempts: Number of attempts that have not ended.
        answer_begun: Whether any part of the answer was received.
        suspect: Whether an endpoint was lost while this content ran.
    """

    sent_at: float
    open_attempts: int
    answer_begun: bool
    suspect: bool


def decide_hedge(
    request: requests.Request,
    progress: Progress,
    hedge_after_s: float | None,
    budget: budgets.Budget,
    now: float,
) -> Decision:
    """Decides whether to hedge a request; only urgent idempotent ones are hedged.

    Args:
        request: The request.
        progress: Progress of its attempts.
        hedge_after_s: Delay before a hedge; None if hedging is disabled.
        budget: Budget of hedges; spent by a hedge.
        now: Present time, monotonic seconds.
    """
    if hedge_after_s is None or not _may_hedge(request, progress):
        return NoHedge()
    due_at = progress.sent_at + hedge_after_s
    if now < due_at:
        return HedgeLater(due_at)
    total_s = request.deadline_at - request.arrived_at
    if request.deadline_at - now < MIN_REMAINING_SHARE * total_s:
        return NoHedge()
    return HedgeNow() if budget.try_spend(now) else NoHedge()


def _may_hedge(request: requests.Request, progress: Progress) -> bool:
    return (
        request.priority is requests.PriorityClass.URGENT
        and request.idempotency is requests.Idempotency.IDEMPOTENT
        and progress.open_attempts == 1
        and not progress.answer_begun
        and not progress.suspect
    )
