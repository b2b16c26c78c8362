"""Decides what follows when a request's attempt at an endpoint failed."""

from __future__ import annotations

import dataclasses
import enum

from chicoryweir_policy.forwarding import configuration

# Less time than this at an endpoint can't bring an answer.
MIN_USEFUL_S = 0.02


class Failure(enum.Enum):
    """How an attempt failed.

    Attributes:
        NOT_SENT: Nothing reached the endpoint.
        DECLINED: The endpoint said that it did not run the request.
        MISDIRECTED: Another instance holds the address, and did not run it.
        BROKEN: The connection ended, or went silent, after the request was sent.
        GARBLED: What came back is no answer to this request.
        ERROR: The endpoint answered with a failure of its own.
    """

    NOT_SENT = "not_sent"
    DECLINED = "declined"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    GARBLED = "garbled"
    ERROR = "error"

    @property
    def proves_not_run(self) -> bool:
        """Whether the endpoint certainly did not run the request."""
        return self in (Failure.NOT_SENT, Failure.DECLINED, Failure.MISDIRECTED)

    @property
    def was_delivered(self) -> bool:
        """Whether the attempt reached an endpoint, which the budget counts."""
        return self is not Failure.NOT_SENT

    @property
    def reached_intended_endpoint(self) -> bool:
        """Whether it reached the endpoint that it was meant for."""
        return self not in (Failure.NOT_SENT, Failure.MISDIRECTED)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHistory:
    """Attempts of one request so far.

    Attributes:
        deliveries: Attempts that reached an endpoint, the one that was meant or not.
        attempts: Those that reached the one that was meant.
        runs: Attempts that ran or may have run.
        answer_begun: Whether part of the answer went to the caller.
        requeues: Times that the request was put back without reaching anyone.
    """

    deliveries: int
    attempts: int
    runs: int
    answer_begun: bool
    requeues: int


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is sent to another endpoint; `charged` against the budget."""

    charged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """The request ends as not run, which stays true; the caller may come back."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """The request ends with a failure that promises nothing."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """The answer has answer_begun and can't be completed; the connection is broken."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PassOn:
    """The endpoint's own failure is handed to the caller."""


Decision = Retry | Reject | Fail | Abort | PassOn

MAX_REQUEUES = 8


def decide_retry(
    route: configuration.Route,
    failure: Failure,
    history: AttemptHistory,
    budget_left: float,
    remaining_s: float,
) -> Decision:
    """Decides what follows a failed attempt.

    Args:
        route: Route of the request.
        failure: How the latest attempt failed.
        history: Attempts so far, the failed one included.
        budget_left: Repeats that the entry may still send to the service.
        remaining_s: Time until the request's deadline, in seconds.
    """
    may_retry = failure.proves_not_run or route.retryable
    if not may_retry:
        return _end(failure, history, "the request may not be repeated")
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
