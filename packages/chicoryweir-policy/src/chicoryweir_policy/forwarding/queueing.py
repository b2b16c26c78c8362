"""Order in which the requests of one service wait at an entry.

The load it answers: a burst of several times what the endpoints can take. A request
that can still meet its objective goes before one that can't any more; within each of
the two, classes go by priority above floors and workspaces share fairly.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import queue
from chicoryweir_policy.admission import queued
from chicoryweir_policy.forwarding import demand

# A workspace's requests go by the rank of their routes: each rank counts as a deadline
# that is later by more than objectives differ, in seconds.
PRIORITY_SHIFT_S = 2.0
# Requests that wait at one entry for one service.
MAX_WAITING = 400
# Parts of the capacity that the second and third class keep in a flood of the first.
FLOOR_SHARES = (0.0, 0.08, 0.08)
# Speed until the first measurement, in units of cost a second.
INITIAL_THROUGHPUT = 500.0
# Callers don't come back later than this, a third of the time that the longest of them
# have, in seconds.
MAX_RETRY_S = 2.7
# The least throughput that is predicted from, in the same unit.
MIN_THROUGHPUT = 1.0
# Time over which the throughput at which waiting work starts is averaged, in seconds.
THROUGHPUT_AVERAGING_S = 2.0
# A wait that is predicted is uncertain; only this part of the time left is counted on.
USABLE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that wants an endpoint.

    Attributes:
        request_id: Identifier of the request in this entry.
        workspace: Workspace it belongs to.
        priority: Rank; 0 is the most urgent.
        route_priority: Rank of its route, which orders requests of equal priority.
        estimate: Its estimated work.
        objective_at: Time by which its first part is on time, monotonic seconds.
        abandon_at: Time by which its caller has left if nothing has come.
        arrived_at: Its arrival.
        excluded: Instances that must not get it.
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

    @property
    def on_time_start_by(self) -> float:
        """Time by which it must start to meet its objective."""
        return self.objective_at - self.estimate.first_part_s

    @property
    def latest_start_at(self) -> float:
        """Time after which starting it serves nobody."""
        return self.abandon_at - self.estimate.first_part_s


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request is rejected without having run.

    Attributes:
        request: The request.
        reason: Why.
        retry_after_s: Time after which coming back helps, in seconds.
    """

    request: PendingRequest
    reason: str
    retry_after_s: float


class ThroughputMeter:
    """Measures the cost of what starts a second while requests wait."""

    def __init__(self) -> None:
        self.throughput = INITIAL_THROUGHPUT
        self._cost = 0.0
        self._since: float | None = None

    def restart(self, now: float) -> None:
        """Begins anew; while nothing waits, the throughput says nothing."""
        self._cost, self._since = 0.0, now

    def add(self, cost: float, now: float) -> bool:
        """Counts what starts; tells whether the throughput was measured anew."""
        if self._since is None:
            self._since = now
        self._cost += cost
        elapsed_s = now - self._since
        if elapsed_s < THROUGHPUT_AVERAGING_S / 4:
            return False
        part = min(1.0, elapsed_s / THROUGHPUT_AVERAGING_S)
        self.throughput += part * (self._cost / elapsed_s - self.throughput)
        self.throughput = max(self.throughput, MIN_THROUGHPUT)
        self._cost, self._since = 0.0, now
        return True


class RequestQueue(typing.Protocol):
    """Holds the requests that wait and tells which goes next."""

    def push(self, request: PendingRequest, now: float) -> tuple[Rejection, ...]:
        """Adds a request; returns those that are rejected, it among them or not."""

    def pop(self, now: float, on_time_only: bool) -> PendingRequest | None:
        """Removes and returns the next request; the late ones stay on demand."""

    def remove(self, request_id: str) -> bool:
        """Removes a request; False when it doesn't wait."""

    def expire(self, now: float) -> tuple[Rejection, ...]:
        """Removes the requests that can't be answered in time any more."""

    def predict_wait(self, now: float) -> float:
        """Predicts the time in which all that waits has started, in seconds."""

    def count_on_time(self) -> int:
        """Returns the requests that can still meet their objectives."""

    def __len__(self) -> int:
        """Returns the number of requests that wait."""


class ObjectiveFirstQueue:
    """Two queues: requests that can meet their objective, then all others."""

    def __init__(self) -> None:
        self._on_time = queue.create_fair_queue(MAX_WAITING, INITIAL_THROUGHPUT)
        self._late = queue.create_fair_queue(MAX_WAITING, INITIAL_THROUGHPUT)
        self._requests: dict[str, PendingRequest] = {}
        self._meter = ThroughputMeter()
        self._late_meter = ThroughputMeter()

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._requests)

    def push(self, request: PendingRequest, now: float) -> tuple[Rejection, ...]:
        """Adds a request; returns those that are rejected, it among them or not."""
        if not self._requests:
            self._meter.restart(now)
            self._late_meter.restart(now)
        if self._predict_start(request, now) > self._compute_max_wait_s(request, now):
            return (self._reject(request, "the wait would pass its deadline", now),)
        self._requests[request.request_id] = request
        return self._enqueue(request, now)

    def count_on_time(self) -> int:
        """Returns the requests that can still meet their objectives."""
        return len(self._on_time)

    def pop(self, now: float, on_time_only: bool) -> PendingRequest | None:
        """Removes and returns the next request; the late ones stay on demand."""
        self._demote(now)
        entry = self._on_time.pop(now)
        late_cost = 0.0
        if entry is None:
            if on_time_only:
                return None
            entry = self._late.pop(now)
            if entry is None:
                return None
            late_cost = entry.cost_tokens
        if self._meter.add(entry.cost_tokens, now):
            self._on_time.set_speed(self._meter.throughput)
        if self._late_meter.add(late_cost, now):
            self._late.set_speed(self._late_meter.throughput)
        return self._requests.pop(entry.attempt_id)

    def remove(self, request_id: str) -> bool:
        """Removes a request; False when it doesn't wait."""
        if self._requests.pop(request_id, None) is None:
            return False
        if self._on_time.remove(request_id) is None:
            self._late.remove(request_id)
        return True

    def expire(self, now: float) -> tuple[Rejection, ...]:
        """Removes the requests that can't be answered in time any more."""
        rejections = list(self._demote(now))
        for entry in self._late.expire(now):
            request = self._requests.pop(entry.attempt_id)
            rejections.append(self._reject(request, "its time ran out waiting", now))
        return tuple(rejections)

    def predict_wait(self, now: float) -> float:
        """Predicts the time in which all that waits has started, in seconds."""
        waiting = [*self._on_time.measure(now), *self._late.measure(now)]
        return sum(measure.tokens for measure in waiting) / self._meter.throughput

    def _predict_start(self, request: PendingRequest, now: float) -> float:
        priority = _convert_priority(request.priority)
        if now <= request.on_time_start_by:
            ahead = self._on_time.predict_wait(request.workspace, priority, now)
            if now + ahead <= request.on_time_start_by:
                return ahead
        # What starts late is measured by itself: it gets what the others leave.
        own_s = request.estimate.cost / self._late_meter.throughput
        return own_s + self._late.predict_wait(request.workspace, priority, now)

    def _compute_max_wait_s(self, request: PendingRequest, now: float) -> float:
        """Returns the wait that a request can bear, in seconds."""
        return (request.latest_start_at - now) * USABLE_SHARE

    def _enqueue(self, request: PendingRequest, now: float) -> tuple[Rejection, ...]:
        late = now > request.on_time_start_by
        target = self._late if late else self._on_time
        latest = request.latest_start_at if late else request.on_time_start_by
        match target.push(_create_entry(request, latest), now):
            case queued.Accepted(evicted=rejected):
                lost = rejected
            case queued.Rejected() as rejection:
                lost = (rejection,)
        return tuple(
            self._reject(
                self._requests.pop(one.entry.attempt_id), one.reason.value, now
            )
            for one in lost
        )

    def _demote(self, now: float) -> tuple[Rejection, ...]:
        """Moves requests that can't meet their objective behind those that can."""
        rejections: list[Rejection] = []
        for entry in self._on_time.expire(now):
            request = self._requests[entry.attempt_id]
            if self._predict_start(request, now) > self._compute_max_wait_s(
                request, now
            ):
                del self._requests[entry.attempt_id]
                rejections.append(self._reject(request, "it would start too late", now))
                continue
            rejections += self._enqueue(request, now)
        return tuple(rejections)

    def _reject(self, request: PendingRequest, reason: str, now: float) -> Rejection:
        late_s = self._late.predict_wait(
            request.workspace, _convert_priority(request.priority), now
        )
        wait_s = min(MAX_RETRY_S, max(self.predict_wait(now), late_s))
        retry_after_ms = delay.compute_retry_after_ms(request.request_id, wait_s)
        return Rejection(request, reason, retry_after_ms / 1000)


def _convert_priority(priority: int) -> requests.PriorityClass:
    return requests.PriorityClass(min(priority, max(requests.PriorityClass)))


def _create_entry(request: PendingRequest, latest_start_at: float) -> queued.Queued:
    priority = _convert_priority(request.priority)
    shift_s = request.route_priority * PRIORITY_SHIFT_S
    return queued.Queued(
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
    """Creates the waiting room of one service."""
    return ObjectiveFirstQueue()
