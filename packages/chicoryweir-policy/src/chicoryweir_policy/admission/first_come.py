"""First-come, first-served queue, the baseline for benchmarks."""

from __future__ import annotations

from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import queued


class FirstComeQueue:
    """Serves requests in order of arrival and rejects new ones when full."""

    def __init__(self, limit: int, tokens_per_s: float) -> None:
        self._limit = limit
        self._tokens_per_s = tokens_per_s
        self._requests: dict[str, queued.QueuedRequest] = {}

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._requests)

    def push(self, request: queued.QueuedRequest, now: float) -> queued.Outcome:
        """Enqueues a request, or rejects it when the queue is full."""
        if len(self._requests) >= self._limit:
            wait_s = self.predict_wait(request.workspace, request.priority, now)
            retry_after_ms = delay.compute_retry_after_ms(request.attempt_id, wait_s)
            return queued.Rejected(request, queued.Reason.QUEUE_FULL, retry_after_ms)
        self._requests[request.attempt_id] = request
        return queued.Accepted(request)

    def pop(
        self,
        now: float,
        least_urgent: requests.PriorityClass = requests.PriorityClass.BULK,
    ) -> queued.QueuedRequest | None:
        """Dequeues the oldest request; returns None when there is none.

        Args:
            now: Present time, monotonic seconds.
            least_urgent: Least urgent class that is considered.
        """
        for attempt_id, request in self._requests.items():
            if request.priority <= least_urgent:
                return self._requests.pop(attempt_id)
        return None

    def remove(self, attempt_id: str) -> queued.QueuedRequest | None:
        """Removes a cancelled attempt; returns None when it is not queued."""
        return self._requests.pop(attempt_id, None)

    def expire(self, now: float) -> tuple[queued.QueuedRequest, ...]:
        """Removes and returns the requests that can no longer meet their deadline."""
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
        """Does nothing: the order of service does not depend on the cost."""

    def list_backlogged(self) -> list[requests.PriorityClass]:
        """Returns the classes that have queued requests, most urgent first."""
        return sorted({request.priority for request in self._requests.values()})

    def set_speed(self, tokens_per_s: float) -> None:
        """Sets the throughput of the whole endpoint, used to predict queueing times."""
        self._tokens_per_s = tokens_per_s

    def predict_wait(
        self, workspace: str, priority: requests.PriorityClass, now: float
    ) -> float:
        """Predicts the queueing time of a request enqueued now, in seconds."""
        tokens = sum(request.cost_tokens for request in self._requests.values())
        return tokens / self._tokens_per_s

    def measure_backlog(self, now: float) -> tuple[queued.ClassBacklog, ...]:
        """Returns the queued work by priority class, most urgent first."""
        wait_s = self.predict_wait("", requests.PriorityClass.URGENT, now)
        backlogs = []
        for priority in requests.PriorityClass:
            own = [r for r in self._requests.values() if r.priority == priority]
            tokens = sum(request.cost_tokens for request in own)
            backlogs.append(
                queued.ClassBacklog(priority, len(own), tokens, wait_s, wait_s)
            )
        return tuple(backlogs)


def create_first_come_queue(limit: int, tokens_per_s: float) -> queued.Queue:
    """Creates a first-come, first-served queue.

    Args:
        limit: Maximum number of queued requests.
        tokens_per_s: Throughput of the whole endpoint.
    """
    return FirstComeQueue(limit, tokens_per_s)
