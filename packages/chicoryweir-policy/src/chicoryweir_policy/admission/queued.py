"""Queued requests, the outcomes of enqueueing them, and the queue protocol."""

from __future__ import annotations

import dataclasses
import enum
import typing

from chicoryweir_policy import requests


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request queued for a slot of an endpoint.

    Attributes:
        attempt_id: Identifier of the attempt, unique in the fleet.
        workspace: Workspace of the request.
        priority: Priority class.
        weight: Relative weight of the workspace within its class; positive.
        floor_share: Minimum capacity share of the class while backlogged, 0 to 1.
        cost_tokens: Estimated prompt plus generated tokens.
        deadline_at: Deadline of the answer, monotonic seconds.
        arrived_at: Time of arrival, monotonic seconds.
        run_s: Estimated time from the start to the end of the answer, in seconds.
    """

    attempt_id: str
    workspace: str
    priority: requests.PriorityClass
    weight: float
    floor_share: float
    cost_tokens: float
    deadline_at: float
    arrived_at: float
    run_s: float = 0.0

    @property
    def latest_start_at(self) -> float:
        """Latest start that still meets the deadline, monotonic seconds."""
        return self.deadline_at - self.run_s


class Reason(enum.Enum):
    """Reason for which a request was not queued, or was removed without running."""

    QUEUE_FULL = "queue_full"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A request that the queue rejected or evicted.

    Attributes:
        request: The request.
        reason: Reason of the rejection.
        retry_after_ms: Delay after which a retry may be accepted.
    """

    request: QueuedRequest
    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request was enqueued.

    Attributes:
        request: The request.
        evicted: Requests evicted in its favour; each must be answered at once.
    """

    request: QueuedRequest
    evicted: tuple[Rejected, ...] = ()


Outcome = Accepted | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class ClassBacklog:
    """Queued work of one priority class.

    Attributes:
        priority: Priority class.
        depth: Number of queued requests.
        tokens: Their total cost, in tokens.
        drain_s: Predicted time until all of them have started, in seconds.
        new_workspace_wait_s: Predicted queueing time of a request from a workspace with
            no queued requests, in seconds.
    """

    priority: requests.PriorityClass
    depth: int
    tokens: float
    drain_s: float
    new_workspace_wait_s: float


class Queue(typing.Protocol):
    """Selects the request for the next free slot of an endpoint."""

    def push(self, request: QueuedRequest, now: float) -> Outcome:
        """Enqueues a request, which may be rejected or evict others."""

    def pop(
        self,
        now: float,
        least_urgent: requests.PriorityClass = requests.PriorityClass.BULK,
    ) -> QueuedRequest | None:
        """Dequeues the request to start next; returns None when there is none.

        Args:
            now: Present time, monotonic seconds.
            least_urgent: Least urgent class that is considered.
        """

    def remove(self, attempt_id: str) -> QueuedRequest | None:
        """Removes a cancelled attempt; returns None when it is not queued."""

    def expire(self, now: float) -> tuple[QueuedRequest, ...]:
        """Removes and returns the requests that can no longer meet their deadline."""

    def correct_cost(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        correction_tokens: float,
        now: float,
    ) -> None:
        """Corrects the cost charged when a request started.

        Args:
            workspace: Workspace of the request.
            priority: Priority class of the request.
            correction_tokens: Tokens used minus tokens estimated.
            now: Present time, monotonic seconds.
        """

    def list_backlogged(self) -> list[requests.PriorityClass]:
        """Returns the classes that have queued requests, most urgent first."""

    def set_speed(self, tokens_per_s: float) -> None:
        """Sets the throughput of the whole endpoint, used to predict queueing times."""

    def predict_wait(
        self, workspace: str, priority: requests.PriorityClass, now: float
    ) -> float:
        """Predicts the queueing time of a request enqueued now, in seconds."""

    def measure_backlog(self, now: float) -> tuple[ClassBacklog, ...]:
        """Returns the queued work by priority class, most urgent first."""

    def __len__(self) -> int:
        """Returns the number of queued requests."""
