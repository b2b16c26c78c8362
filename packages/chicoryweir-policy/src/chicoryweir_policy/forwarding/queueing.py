"""Queue of the requests of one service at an entry.

In a burst, several times more requests arrive than the endpoints can run. Requests that
can still meet their objective are dequeued before those that are late. Within both
groups, priority classes have floors, higher classes come first above the floors, and
workspaces share fairly.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.admission import queued
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import returns

# Time that each priority level of a route adds to the deadline by which requests of one
# workspace are ordered. It exceeds the difference between objectives, so that requests
# of more urgent routes come first.
PRIORITY_SHIFT_S = 2.0
# Maximum number of requests in each queue.
MAX_QUEUED = 400
# Shares of capacity that each class keeps, so that a flood of the first doesn't starve
# the second and the third.
FLOOR_SHARES = (0.0, 0.08, 0.08)
# Throughput before the first measurement, in cost per second.
INITIAL_THROUGHPUT = 500.0
# Maximum retry-after time, a third of the longest deadline of callers.
MAX_RETRY_S = 2.7
# Minimum throughput used for predictions, in cost per second.
MIN_THROUGHPUT = 1.0
# Expected wait of a request that is rejected because on-time requests use all capacity,
# in seconds. With the spread of retry-after times the longest is MAX_RETRY_S.
SATURATED_WAIT_S = 1.8
# Averaging time of the throughput.
THROUGHPUT_AVERAGING_S = 2.0
# Share of the remaining time that a predicted wait may use, since predictions are
# uncertain.
USABLE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that needs an endpoint.

    Attributes:
        request_id: Identifier of the request in this entry.
        workspace: Workspace of the request.
        priority: Priority; 0 is the most urgent.
        route_priority: Priority of its route; orders requests of equal `priority`.
        estimate: Estimated work and memory.
        objective_at: Latest time at which its first part is on time, monotonic seconds.
        abandon_at: Time at which its caller leaves if it has received nothing.
        arrived_at: Time of arrival.
        excluded: Instances that it is sent to only if all usable ones are excluded.
        origin: The caller's call that it is an attempt of; None if it isn't known.
    """

    request_id: str
    workspace: str
    priority: int
    route_priority: int
    estimate: demand.Demand
    objective_at: float
    abandon_at: float
    arrived_at: float
    excluded: frozenset[str] = frozenset()
    origin: returns.Origin | None = None

    @property
    def latest_on_time_start_at(self) -> float:
        """Latest start that meets the objective."""
        return self.objective_at - self.estimate.first_part_s

    @property
    def latest_start_at(self) -> float:
        """Latest start at which the caller still gets the first part."""
        return self.abandon_at - self.estimate.first_part_s


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request that was rejected without having run.

    Attributes:
        request: The request.
        reason: Cause, for the answer.
        retry_after_s: Time after which a retry may succeed, in seconds.
        predicted_wait_s: Predicted time in the queue, in seconds; None if the
            rejection doesn't follow from it.
    """

    request: PendingRequest
    reason: str
    retry_after_s: float
    predicted_wait_s: float | None = None


class ThroughputMeter:
    """Measures the cost of started requests per second while the queue isn't empty."""

    def __init__(self) -> None:
        self.throughput = INITIAL_THROUGHPUT
        self._cost = 0.0
        self._since: float | None = None

    def restart(self, now: float) -> None:
        """Restarts the interval when a request is added to an empty queue.

        While the queue is empty, the rate of starts doesn't show the capacity.
        """
        self._cost, self._since = 0.0, now

    def add(self, cost: float, now: float) -> bool:
        """Counts a started request; returns whether the throughput was updated."""
        if self._since is None:
            self._since = now
        self._cost += cost
        elapsed_s = now - self._since
        if elapsed_s < THROUGHPUT_AVERAGING_S / 4:
            return False
        weight = min(1.0, elapsed_s / THROUGHPUT_AVERAGING_S)
        self.throughput += weight * (self._cost / elapsed_s - self.throughput)
        self.throughput = max(self.throughput, MIN_THROUGHPUT)
        self._cost, self._since = 0.0, now
        return True


class Admits(typing.Protocol):
    """Returns whether requests of a priority may start now."""

    def __call__(self, priority: int, late: bool) -> bool:
        """Returns it for on-time or for late requests."""


class RequestQueue(typing.Protocol):
    """Queue of requests that need an endpoint."""

    def push(self, request: PendingRequest, now: float) -> tuple[Rejection, ...]:
        """Enqueues a request; returns all requests rejected as a result."""

    def pop(self, now: float, admits: Admits) -> PendingRequest | None:
        """Dequeues the next request of those that may start; None if there is none."""

    def set_saturated(self, saturated: bool) -> None:
        """Sets whether late requests are rejected: on-time ones use all capacity."""

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns False if it isn't queued."""

    def expire(self, now: float) -> tuple[Rejection, ...]:
        """Removes and rejects requests whose callers would leave before the start."""

    def clear(self) -> tuple[PendingRequest, ...]:
        """Removes and returns all requests."""

    def predict_wait(self, now: float) -> float:
        """Predicts the time until all queued requests have started, in seconds."""

    def count_on_time(self) -> int:
        """Returns the number of requests that can still be on time."""

    def __len__(self) -> int:
        """Returns the number of queued requests."""


class ObjectiveFirstQueue:
    """Two fair queues: one of on-time requests and, after it, one of late requests."""

    def __init__(self) -> None:
        self._on_time = fair_queue.create_fair_queue(MAX_QUEUED, INITIAL_THROUGHPUT)
        self._late = fair_queue.create_fair_queue(MAX_QUEUED, INITIAL_THROUGHPUT)
        self._requests: dict[str, PendingRequest] = {}
        self._meter = ThroughputMeter()
        self._saturated = False
        # Rejections to be returned by `expire`.
        self._rejected: tuple[Rejection, ...] = ()

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._requests)

    def push(self, request: PendingRequest, now: float) -> tuple[Rejection, ...]:
        """Enqueues a request; returns all requests rejected as a result."""
        if not self._requests:
            self._meter.restart(now)
        rejection = self._check_wait(request, "the wait would pass its deadline", now)
        if rejection is not None:
            return (rejection,)
        self._requests[request.request_id] = request
        return self._enqueue(request, now)

    def count_on_time(self) -> int:
        """Returns the number of requests that can still be on time."""
        return len(self._on_time)

    def pop(self, now: float, admits: Admits) -> PendingRequest | None:
        """Dequeues the next request of those that may start; None if there is none."""
        self._rejected += self._demote(now)
        for queue, late in ((self._on_time, False), (self._late, True)):
            admitted = [
                priority
                for priority in queue.list_backlogged()
                if admits(priority, late)
            ]
            entry = queue.pop(now, max(admitted)) if admitted else None
            if entry is not None:
                if self._meter.add(entry.cost_tokens, now):
                    self._on_time.set_speed(self._meter.throughput)
                    self._late.set_speed(self._meter.throughput)
                return self._requests.pop(entry.attempt_id)
        return None

    def set_saturated(self, saturated: bool) -> None:
        """Sets whether late requests are rejected: on-time ones use all capacity."""
        self._saturated = saturated

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns False if it isn't queued."""
        if self._requests.pop(request_id, None) is None:
            return False
        if self._on_time.remove(request_id) is None:
            self._late.remove(request_id)
        return True

    def expire(self, now: float) -> tuple[Rejection, ...]:
        """Removes and rejects requests whose callers would leave before the start."""
        rejections = [*self._rejected, *self._demote(now)]
        self._rejected = ()
        for entry in self._late.expire(now):
            request = self._requests.pop(entry.attempt_id)
            rejections.append(self._reject(request, "its time ran out waiting", now))
        return tuple(rejections)

    def clear(self) -> tuple[PendingRequest, ...]:
        """Removes and returns all requests."""
        cleared = tuple(self._requests.values())
        for request in cleared:
            self.remove(request.request_id)
        return cleared

    def predict_wait(self, now: float) -> float:
        """Predicts the time until all queued requests have started, in seconds."""
        measures = [
            *self._on_time.measure_backlog(now),
            *self._late.measure_backlog(now),
        ]
        return sum(measure.tokens for measure in measures) / self._meter.throughput

    def _predict_wait_s(self, request: PendingRequest, now: float) -> float:
        priority = convert_priority(request.priority)
        if now <= request.latest_on_time_start_at:
            ahead = self._on_time.predict_wait(request.workspace, priority, now)
            if now + ahead <= request.latest_on_time_start_at:
                return ahead
        # A rejected request isn't started and measures no throughput. The prediction
        # for an empty queue must therefore not depend on it.
        return self._late.predict_wait(request.workspace, priority, now)

    def _compute_max_wait_s(self, request: PendingRequest, now: float) -> float:
        """Returns the longest acceptable wait of a request, in seconds."""
        return (request.latest_start_at - now) * USABLE_SHARE

    def _enqueue(self, request: PendingRequest, now: float) -> tuple[Rejection, ...]:
        late = now > request.latest_on_time_start_at
        target = self._late if late else self._on_time
        latest = request.latest_start_at if late else request.latest_on_time_start_at
        match target.push(_create_entry(request, latest), now):
            case queued.Accepted(evicted=evicted):
                rejected_entries = evicted
            case queued.Rejected() as rejection:
                rejected_entries = (rejection,)
        return tuple(
            self._reject(
                self._requests.pop(rejected.request.attempt_id),
                rejected.reason.value,
                now,
            )
            for rejected in rejected_entries
        )

    def _demote(self, now: float) -> tuple[Rejection, ...]:
        """Moves late requests to the late queue; rejects those that would expire."""
        rejections: list[Rejection] = []
        for entry in self._on_time.expire(now):
            request = self._requests[entry.attempt_id]
            rejection = self._check_wait(request, "it would start too late", now)
            if rejection is not None:
                del self._requests[entry.attempt_id]
                rejections.append(rejection)
                continue
            rejections += self._enqueue(request, now)
        return tuple(rejections)

    def _check_wait(
        self, request: PendingRequest, reason: str, now: float
    ) -> Rejection | None:
        """Rejects a request that would wait in vain; returns None if it may wait."""
        late = now > request.latest_on_time_start_at
        if late and self._saturated:
            retry_after_ms = delay.compute_retry_after_ms(
                request.request_id, SATURATED_WAIT_S
            )
            reason = "on-time requests use all capacity"
            return Rejection(request, reason, retry_after_ms / 1000)
        wait_s = self._predict_wait_s(request, now)
        if wait_s > self._compute_max_wait_s(request, now):
            return self._reject(request, reason, now, wait_s)
        return None

    def _reject(
        self,
        request: PendingRequest,
        reason: str,
        now: float,
        predicted_wait_s: float | None = None,
    ) -> Rejection:
        late_s = self._late.predict_wait(
            request.workspace, convert_priority(request.priority), now
        )
        wait_s = min(MAX_RETRY_S, max(self.predict_wait(now), late_s))
        retry_after_ms = delay.compute_retry_after_ms(request.request_id, wait_s)
        return Rejection(request, reason, retry_after_ms / 1000, predicted_wait_s)


def convert_priority(priority: int) -> requests.PriorityClass:
    """Returns the class of a priority."""
    return requests.PriorityClass(min(priority, max(requests.PriorityClass)))


def _create_entry(
    request: PendingRequest, latest_start_at: float
) -> queued.QueuedRequest:
    priority = convert_priority(request.priority)
    shift_s = request.route_priority * PRIORITY_SHIFT_S
    return queued.QueuedRequest(
        attempt_id=request.request_id,
        workspace=request.workspace,
        priority=priority,
        weight=1.0,
        floor_share=FLOOR_SHARES[priority],
        cost_tokens=request.estimate.cost,
        deadline_at=latest_start_at + shift_s,
        arrived_at=request.arrived_at,
        run_s=shift_s,
    )


def create_request_queue() -> RequestQueue:
    """Creates the request queue of one service."""
    return ObjectiveFirstQueue()
