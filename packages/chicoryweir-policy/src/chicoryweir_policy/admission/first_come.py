"""Queue in order of arrival, the baseline of measurements."""

from __future__ import annotations

from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import queued


class FirstComeQueue:
    """Serves in order of arrival and rejects the newcomer when full."""

    def __init__(self, limit: int, tokens_per_s: float) -> None:
        self._limit = limit
        self._tokens_per_s = tokens_per_s
        self._requests: dict[str, queued.QueuedRequest] = {}

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._requests)

    def push(self, request: queued.QueuedRequest, now: float) -> queued.Outcome:
        """Adds a request, which is rejected when the queue is full."""
        if len(self._requests) >= self._limit:
            wait_s = self.predict_wait(request.workspace, request.priority, now)
            retry_after_ms = delay.compute_retry_after_ms(request.attempt_id, wait_s)
            return queued.Rejected(request, queued.Reason.QUEUE_FULL, retry_after_ms)
        self._requests[request.attempt_id] = request
        return queued.Accepted(request)

    def pop(self, now: float) -> queued.QueuedRequest | None:
        """Removes and returns the earliest request; None when none waits."""
        for attempt_id in self._requests:
            return self._requests.pop(attempt_id)
        return None

    def remove(self, attempt_id: str) -> queued.QueuedRequest | None:
        """Removes a cancelled attempt; None when it does not wait."""
        return self._requests.pop(attempt_id, None)

    def expire(self, now: float) -> tuple[queued.QueuedRequest, ...]:
        """Removes and returns the requests whose deadline can no longer be met."""
        expired = tuple(
            request
            for request in self._requests.values()
            if request.latest_start_at < now
        )
        for request in expired:
            del self._requests[request.attempt_id]
        return expired

    def correct_cost(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        correction_tokens: float,
        now: float,
    ) -> None:
        """Does nothing: the order of arrival does not depend on the cost."""

    def set_speed(self, tokens_per_s: float) -> None:
        """Sets the speed of the whole endpoint, on which waits are predicted."""
        self._tokens_per_s = tokens_per_s

    def predict_wait(
        self, workspace: str, priority: requests.PriorityClass, now: float
    ) -> float:
        """Predicts how long a request pushed now would wait, in seconds."""
        tokens = sum(request.cost_tokens for request in self._requests.values())
        return tokens / self._tokens_per_s

    def measure_backlog(self, now: float) -> tuple[queued.ClassBacklog, ...]:
        """Returns the work that waits, by class, most urgent first."""
        wait_s = self.predict_wait("", requests.PriorityClass.URGENT, now)
        measures = []
        for priority in requests.PriorityClass:
            own = [e for e in self._requests.values() if e.priority == priority]
            tokens = sum(request.cost_tokens for request in own)
            measures.append(
                queued.ClassBacklog(priority, len(own), tokens, wait_s, wait_s)
            )
        return tuple(measures)


def create_first_come_queue(limit: int, tokens_per_s: float) -> queued.Queue:
    """Creates a queue in order of arrival.

    Args:
        limit: Requests that may wait.
        tokens_per_s: Speed of the whole endpoint.
    """
    return FirstComeQueue(limit, tokens_per_s)
