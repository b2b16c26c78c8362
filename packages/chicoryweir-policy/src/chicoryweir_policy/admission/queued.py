"""Requests that wait at an agent and the outcomes of queueing them."""

from __future__ import annotations

import dataclasses
import enum
import typing

from chicoryweir_policy import requests


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot of the endpoint.

    Attributes:
        attempt_id: Attempt at running the request, unique in the fleet.
        workspace: Workspace the request belongs to.
        priority: Priority class.
        weight: Share of the workspace within its class relative to others; positive.
        floor_share: Share of capacity that the class keeps while it has work, 0 to 1.
        cost_tokens: Estimated prompt plus generated tokens.
        deadline_at: Time by which the answer is due, monotonic seconds.
        arrived_at: Arrival at the agent, monotonic seconds.
        run_s: Estimated time from start to the end of the answer, in seconds.
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
        """Time after which the deadline can no longer be met, monotonic seconds."""
        return self.deadline_at - self.run_s


class Reason(enum.Enum):
    """Why a request left the queue without running."""

    QUEUE_FULL = "queue_full"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A request that the queue gave up on.

    Attributes:
        request: The request.
        reason: Why it was given up on.
        retry_after_ms: Time after which coming back helps.
    """

    request: QueuedRequest
    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A request waits in the queue.

    Attributes:
        request: The request.
        evicted: Requests that lost their place to it; each is answered at once.
    """

    request: QueuedRequest
    evicted: tuple[Rejected, ...] = ()


Outcome = Accepted | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class ClassBacklog:
    """Work of one priority class that waits.

    Attributes:
        priority: Priority class.
        depth: Requests that wait.
        tokens: Tokens that wait.
        drain_s: Time in which all of them would have started.
        new_workspace_wait_s: Wait of a request whose workspace has nothing waiting.
    """

    priority: requests.PriorityClass
    depth: int
    tokens: float
    drain_s: float
    new_workspace_wait_s: float


class Queue(typing.Protocol):
    """Decides which request takes the next free slot of an endpoint."""

    def push(self, request: QueuedRequest, now: float) -> Outcome:
        """Adds a request, which may be rejected or evict others."""

    def pop(self, now: float) -> QueuedRequest | None:
        """Removes and returns the request to start next; None when none waits."""

    def remove(self, attempt_id: str) -> QueuedRequest | None:
        """Removes a cancelled attempt; None when it does not wait."""

    def expire(self, now: float) -> tuple[QueuedRequest, ...]:
        """Removes and returns the requests whose deadline can no longer be met."""

    def correct_cost(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        correction_tokens: float,
        now: float,
    ) -> None:
        """Corrects the cost charged at the start of a request.

        Args:
            workspace: Workspace of the request.
            priority: Its priority class.
            correction_tokens: Tokens used beyond the estimate; negative where fewer.
            now: Present time, monotonic seconds.
        """

    def set_speed(self, tokens_per_s: float) -> None:
        """Sets the speed of the whole endpoint, on which waits are predicted."""

    def predict_wait(
        self, workspace: str, priority: requests.PriorityClass, now: float
    ) -> float:
        """Predicts how long a request pushed now would wait, in seconds."""

    def measure_backlog(self, now: float) -> tuple[ClassBacklog, ...]:
        """Returns the work that waits, by class, most urgent first."""

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
