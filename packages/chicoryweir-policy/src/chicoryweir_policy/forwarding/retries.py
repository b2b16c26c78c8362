"""Decides whether a request is retried after a failed attempt."""

from __future__ import annotations

import dataclasses
import enum

from chicoryweir_policy.forwarding import configuration

# Minimum remaining time for a retry; no endpoint answers faster.
MIN_USEFUL_S = 0.02


class Failure(enum.Enum):
    """How an attempt failed.

    Attributes:
        NOT_SENT: Nothing of the request reached the endpoint.
        WITHDRAWN: The request wasn't sent, as the endpoint may get none any more.
        DECLINED: The endpoint answered that it did not run the request.
        MISDIRECTED: Another instance answered at the address and did not run the
            request.
        VERSION_MISMATCH: The endpoint has another version of the weights than the
            request asks for, and did not run it.
        BROKEN: The connection ended or stalled after the request was sent.
        GARBLED: The response is not an answer to this request.
        ERROR: The endpoint answered with an error.
    """

    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"
    DECLINED = "declined"
    MISDIRECTED = "misdirected"
    VERSION_MISMATCH = "version_mismatch"
    BROKEN = "broken"
    GARBLED = "garbled"
    ERROR = "error"

    @property
    def proves_not_run(self) -> bool:
        """Whether it is certain that the request did not run."""
        return not self.was_delivered or self in (
            Failure.DECLINED,
            Failure.MISDIRECTED,
            Failure.VERSION_MISMATCH,
        )

    @property
    def was_delivered(self) -> bool:
        """Whether the attempt reached any endpoint; its retry is then charged."""
        return self not in (Failure.NOT_SENT, Failure.WITHDRAWN)

    @property
    def reached_intended_endpoint(self) -> bool:
        """Whether the attempt reached the endpoint that it was sent to."""
        return self.was_delivered and self is not Failure.MISDIRECTED


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHistory:
    """Attempts of one request so far.

    Attributes:
        deliveries: Attempts that reached any endpoint, intended or not.
        attempts: Attempts that reached the intended endpoint.
        runs: Attempts that ran or may have run.
        answer_begun: Whether part of the answer was sent to the caller.
        requeues: Number of times that the request was queued again because an attempt
            didn't reach the intended endpoint.
    """

    deliveries: int
    attempts: int
    runs: int
    answer_begun: bool
    requeues: int


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry at another endpoint; `charged` if it counts against the budget."""

    charged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """Reject the request; it did not run and won't, so the caller may retry."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request; it may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Abort the answer, which has begun, by breaking the connection."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PassOn:
    """Pass the endpoint's error answer on to the caller."""


Decision = Retry | Reject | Fail | Abort | PassOn

# Maximum number of attempts that don't reach their intended endpoint.
MAX_REQUEUES = 8


def decide_retry(
    route: configuration.Route,
    failure: Failure,
    history: AttemptHistory,
    budget_left: float,
    remaining_s: float,
) -> Decision:
    """Decides how to proceed after a failed attempt.

    Args:
        route: Route of the request.
        failure: How the latest attempt failed.
        history: Attempts so far, including the failed one.
        budget_left: Retries to the service that remain in the entry's budget.
        remaining_s: Time until the request's deadline, in seconds.
    """
    may_retry = failure.proves_not_run or route.retryable
    if not may_retry:
        return _end(failure, history, "the request may not be repeated")
    if history.answer_begun and route.kind is not configuration.RouteKind.STREAM:
        return Abort("an answer that has begun can't be resumed")
    if remaining_s < MIN_USEFUL_S:
        return _end(failure, history, "no time is left")
    if history.attempts >= route.max_attempts:
        return _end(failure, history, "no attempts are left")
    if history.requeues >= MAX_REQUEUES:
        return _end(failure, history, "no endpoint can be reached")
    charged = history.deliveries > 0
    if charged and budget_left < 1.0:
        return _end(failure, history, "the budget for repeats is spent")
    return Retry(charged)


def _end(failure: Failure, history: AttemptHistory, reason: str) -> Decision:
    if history.answer_begun:
        return Abort(reason)
    if failure is Failure.ERROR:
        return PassOn()
    if history.runs == 0:
        return Reject(reason)
    return Fail(reason)
