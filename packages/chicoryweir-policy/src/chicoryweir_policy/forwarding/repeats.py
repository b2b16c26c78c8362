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
    def arrived(self) -> bool:
        """Whether the attempt reached an endpoint, which the budget counts."""
        return self is not Failure.NOT_SENT

    @property
    def met_its_endpoint(self) -> bool:
        """Whether it reached the endpoint that it was meant for."""
        return self not in (Failure.NOT_SENT, Failure.MISDIRECTED)


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Attempts of one request so far.

    Attributes:
        arrivals: Attempts that reached an endpoint, the one that was meant or not.
        attempts: Those that reached the one that was meant.
        runs: Attempts that ran or may have run.
        begun: Whether part of the answer went to the caller.
        queued_again: Times that the request was put back without reaching anyone.
    """

    arrivals: int
    attempts: int
    runs: int
    begun: bool
    queued_again: int


@dataclasses.dataclass(frozen=True, slots=True)
class Repeat:
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
    """The answer has begun and can't be completed; the connection is broken."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PassOn:
    """The endpoint's own failure is handed to the caller."""


Decision = Repeat | Reject | Fail | Abort | PassOn

MAX_QUEUED_AGAIN = 8


def decide_repeat(
    route: configuration.Route,
    failure: Failure,
    history: History,
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
    may_repeat = failure.proves_not_run or route.repeatable
    if not may_repeat:
        return _end(failure, history, "the request may not be repeated")
    if remaining_s < MIN_USEFUL_S:
        return _end(failure, history, "no time is left")
    if history.attempts >= route.max_attempts:
        return _end(failure, history, "no attempts are left")
    if history.queued_again >= MAX_QUEUED_AGAIN:
        return _end(failure, history, "no endpoint can be reached")
    charged = history.arrivals > 0
    if charged and budget_left < 1.0:
        return _end(failure, history, "the budget for repeats is spent")
    return Repeat(charged)


def _end(failure: Failure, history: History, reason: str) -> Decision:
    if history.begun:
        return Abort(reason)
    if failure is Failure.ERROR:
        return PassOn()
    if history.runs == 0:
        return Reject(reason)
    return Fail(reason)
