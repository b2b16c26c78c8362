"""Fair queue: floors between priority classes, weighted shares between workspaces."""

from __future__ import annotations

import heapq

from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import floors
from chicoryweir_policy.admission import queued
from chicoryweir_policy.admission import workspace_schedule

_CLASSES = tuple(requests.PriorityClass)
_MAX_STALE_EXPIRIES = 64


class FairQueue:
    """Queue that schedules classes by floors and workspaces by weight."""

    def __init__(self, limit: int, tokens_per_s: float) -> None:
        self._limit = limit
        self._tokens_per_s = tokens_per_s
        self._floors = floors.FloorTracker()
        self._schedules = tuple(
            workspace_schedule.WorkspaceSchedule() for _ in _CLASSES
        )
        self._requests: dict[str, queued.QueuedRequest] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._requests)

    def push(self, request: queued.QueuedRequest, now: float) -> queued.Outcome:
        """Enqueues a request.

        If the queue is full, the last request of the largest consumer is evicted. If
        that is the new request itself, it is rejected.
        """
        assert request.attempt_id not in self._requests, request.attempt_id
        self._floors.set_share(request.priority, request.floor_share)
        evicted: tuple[queued.Rejected, ...] = ()
        if len(self._requests) >= self._limit:
            victim = self._select_victim(request)
            if victim is request:
                return self._reject(request, queued.Reason.QUEUE_FULL)
            evicted = (self._reject(victim, queued.Reason.EVICTED),)
            self.remove(victim.attempt_id)
        self._requests[request.attempt_id] = request
        self._schedules[request.priority].push(request)
        self._sequence += 1
        expiry = (request.latest_start_at, self._sequence, request.attempt_id)
        heapq.heappush(self._expiries, expiry)
        return queued.Accepted(request, evicted)

    def pop(
        self,
        now: float,
        least_urgent: requests.PriorityClass = requests.PriorityClass.BULK,
    ) -> queued.QueuedRequest | None:
        """Dequeues the request to start next; returns None when there is none.

        Args:
            now: Present time, monotonic seconds.
            least_urgent: Least urgent class that is considered.
        """
        backlogged = [
            has_backlog and priority <= least_urgent
            for priority, has_backlog in zip(
                _CLASSES, self._list_backlogged(), strict=True
            )
        ]
        priority = self._floors.select_class(backlogged)
        if priority is None:
            return None
        request = self._schedules[priority].pop()
        if request is None:
            return None
        del self._requests[request.attempt_id]
        self._floors.charge(
            priority, request.cost_tokens, backlogged, self._tokens_per_s
        )
        self._compact_expiries()
        return request

    def remove(self, attempt_id: str) -> queued.QueuedRequest | None:
        """Removes a cancelled attempt; returns None when it is not queued."""
        request = self._requests.pop(attempt_id, None)
        if request is not None:
            self._schedules[request.priority].remove(request)
            self._compact_expiries()
        return request

    def expire(self, now: float) -> tuple[queued.QueuedRequest, ...]:
        """Removes and returns the requests that can no longer meet their deadline."""
        expired = []
        while self._expiries and self._expiries[0][0] < now:
            _, _, attempt_id = heapq.heappop(self._expiries)
            request = self._requests.get(attempt_id)
            if request is not None and request.latest_start_at < now:
                self.remove(attempt_id)
                expired.append(request)
        return tuple(expired)

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
        self._schedules[priority].correct_cost(workspace, correction_tokens)
        self._floors.charge(
            priority, correction_tokens, self._list_backlogged(), self._tokens_per_s
        )

    def list_backlogged(self) -> list[requests.PriorityClass]:
        """Returns the classes that have queued requests, most urgent first."""
        backlogged = self._list_backlogged()
        return [priority for priority in _CLASSES if backlogged[priority]]

    def set_speed(self, tokens_per_s: float) -> None:
        """Sets the throughput of the whole endpoint, used to predict queueing times."""
        self._tokens_per_s = tokens_per_s

    def predict_wait(
        self, workspace: str, priority: requests.PriorityClass, now: float
    ) -> float:
        """Predicts the queueing time of a request enqueued now, in seconds."""
        ahead = self._schedules[priority].estimate_tokens_ahead(workspace)
        return self._predict_class_wait(priority, ahead)

    def measure_backlog(self, now: float) -> tuple[queued.ClassBacklog, ...]:
        """Returns the queued work by priority class, most urgent first."""
        tokens = [schedule.tokens for schedule in self._schedules]
        drain_times_s = floors.predict_waits(
            tokens, self._floors.shares, self._tokens_per_s
        )
        return tuple(
            queued.ClassBacklog(
                priority=priority,
                depth=self._schedules[priority].depth,
                tokens=tokens[priority],
                drain_s=drain_times_s[priority],
                new_workspace_wait_s=self._predict_class_wait(priority, 0.0),
            )
            for priority in _CLASSES
        )

    def _predict_class_wait(
        self, priority: requests.PriorityClass, ahead_tokens: float
    ) -> float:
        tokens = [schedule.tokens for schedule in self._schedules]
        tokens[priority] = ahead_tokens
        if any(tokens[:priority]):
            tokens[priority] += self._floors.get_surplus(priority)
        waits = floors.predict_waits(tokens, self._floors.shares, self._tokens_per_s)
        return waits[priority]

    def _list_backlogged(self) -> list[bool]:
        return [schedule.depth > 0 for schedule in self._schedules]

    def _select_victim(self, new_request: queued.QueuedRequest) -> queued.QueuedRequest:
        shares = self._floors.shares
        for priority in reversed(_CLASSES):
            depth = self._schedules[priority].depth + (priority == new_request.priority)
            if depth <= shares[priority] * self._limit:
                continue
            if priority == new_request.priority:
                return self._schedules[priority].select_victim(new_request)
            return self._schedules[priority].get_last()
        return new_request

    def _reject(
        self, request: queued.QueuedRequest, reason: queued.Reason
    ) -> queued.Rejected:
        wait_s = self.predict_wait(
            request.workspace, request.priority, request.arrived_at
        )
        retry_after_ms = delay.compute_retry_after_ms(request.attempt_id, wait_s)
        return queued.Rejected(request, reason, retry_after_ms)

    def _compact_expiries(self) -> None:
        if len(self._expiries) <= 2 * len(self._requests) + _MAX_STALE_EXPIRIES:
            return
        self._expiries = [
            expiry for expiry in self._expiries if expiry[2] in self._requests
        ]
        heapq.heapify(self._expiries)


def create_fair_queue(limit: int, tokens_per_s: float) -> queued.Queue:
    """Creates a fair queue.

    Args:
        limit: Maximum number of queued requests.
        tokens_per_s: Throughput of the whole endpoint.
    """
    return FairQueue(limit, tokens_per_s)
