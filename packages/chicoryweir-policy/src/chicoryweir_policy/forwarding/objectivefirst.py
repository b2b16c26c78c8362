"""Starts on-time requests first and reserves capacity for the more urgent classes."""

from __future__ import annotations

import functools
import math

from chicoryweir_policy import requests
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import reservation
from chicoryweir_policy.forwarding import shedding

# Time constant of the moving average of the load that shows whether late requests can
# start at all.
LOAD_AVERAGING_S = 1.0
# Share of the slots up to which no request is rejected for the load alone.
UNSATURATED_SHARE = 0.5


class ObjectiveFirst:
    """Admits classes up to their share of the limit; queues on-time requests first."""

    def __init__(self, queue: queueing.RequestQueue, entry: str) -> None:
        """Initializes the state.

        Args:
            queue: Queue of the service.
            entry: Name of this entry.
        """
        self._queue = queue
        self._reservation = reservation.Reservation(entry)
        self._load = shedding.ServiceLoad()
        self._average_running = 0.0
        self._averaged_at = -math.inf

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queue)

    def observe(self, load: shedding.ServiceLoad, now: float) -> None:
        """Sets the load that the next decisions are based on."""
        self._load = load
        weight = 1.0 - math.exp(-max(0.0, now - self._averaged_at) / LOAD_AVERAGING_S)
        self._average_running += weight * (load.running - self._average_running)
        self._averaged_at = now
        late_limit = self._reservation.compute_limit(
            load.limit, max(requests.PriorityClass), True, now
        )
        unsaturated = max(late_limit, UNSATURATED_SHARE * load.slots)
        self._queue.set_saturated(self._average_running >= max(1.0, unsaturated))

    def record_request(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request arrived."""
        priority = queueing.convert_priority(request.priority)
        late = now > request.latest_on_time_start_at
        self._reservation.record_request(priority, late, now)

    def record_start(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request was sent to an endpoint."""
        priority = queueing.convert_priority(request.priority)
        self._reservation.record_start(priority, now)

    def admits(self, request: queueing.PendingRequest, now: float) -> bool:
        """Returns whether a request that arrives while none waits may start at once."""
        priority = queueing.convert_priority(request.priority)
        late = now > request.latest_on_time_start_at
        return self._admits(now, priority, late)

    def push(
        self, request: queueing.PendingRequest, now: float
    ) -> tuple[queueing.Rejection, ...]:
        """Enqueues a request; returns all requests rejected as a result."""
        return self._queue.push(request, now)

    def pop(self, now: float) -> queueing.PendingRequest | None:
        """Dequeues the next request that may start; None if there is none."""
        return self._queue.pop(now, functools.partial(self._admits_queued, now))

    def expire(self, now: float) -> tuple[queueing.Rejection, ...]:
        """Removes and rejects requests whose callers would leave before the start."""
        return self._queue.expire(now)

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns False if it isn't queued."""
        return self._queue.remove(request_id)

    def clear(self) -> tuple[queueing.PendingRequest, ...]:
        """Removes and returns all requests."""
        return self._queue.clear()

    def count_on_time(self) -> int:
        """Returns the number of queued requests that can still be on time."""
        return self._queue.count_on_time()

    def take_basis(self, request_id: str) -> shedding.Basis | None:
        """Returns None: the inputs are those of the dispatcher."""
        return None

    def _admits(self, now: float, priority: int, late: bool) -> bool:
        limit = self._reservation.compute_limit(self._load.limit, priority, late, now)
        return self._load.running < limit

    def _admits_queued(self, now: float, priority: int, late: bool) -> bool:
        # The free capacity may be needed by other entries' on-time requests.
        if late and self._load.free <= self._load.peer_on_time:
            return False
        return self._admits(now, priority, late)
