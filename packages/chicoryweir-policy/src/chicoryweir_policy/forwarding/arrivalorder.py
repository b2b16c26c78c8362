"""Baselines that use all capacity for one queue in a fixed order."""

from __future__ import annotations

import collections.abc
import operator

import sortedcontainers

from chicoryweir_policy.admission import delay
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import shedding

# Expected wait of a request whose time ran out, in seconds; the same as that of the
# default way, so that a comparison doesn't depend on it.
EXPIRED_WAIT_S = queueing.SATURATED_WAIT_S


class FixedOrder:
    """Starts requests in the order of a key; rejects those whose time ran out."""

    def __init__(
        self, get_key: collections.abc.Callable[[queueing.PendingRequest], float]
    ) -> None:
        """Initializes an empty queue.

        Args:
            get_key: Returns the time by which requests are ordered.
        """
        self._load = shedding.ServiceLoad()
        self._queue = sortedcontainers.SortedKeyList(key=get_key)

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queue)

    def observe(self, load: shedding.ServiceLoad, now: float) -> None:
        """Sets the load that the next decisions are based on."""
        self._load = load

    def record_request(self, request: queueing.PendingRequest, now: float) -> None:
        """Does nothing: the order doesn't depend on earlier requests."""

    def record_start(self, request: queueing.PendingRequest, now: float) -> None:
        """Does nothing: the order doesn't depend on earlier requests."""

    def admits(self, request: queueing.PendingRequest, now: float) -> bool:
        """Returns whether a request that arrives while none waits may start at once."""
        return self._load.running < self._load.limit

    def push(
        self, request: queueing.PendingRequest, now: float
    ) -> tuple[queueing.Rejection, ...]:
        """Enqueues a request; rejects it if the queue is full."""
        if len(self._queue) >= queueing.MAX_QUEUED:
            return (_reject(request, "the queue is full"),)
        self._queue.add(request)
        return ()

    def pop(self, now: float) -> queueing.PendingRequest | None:
        """Dequeues the next request; None if there is none or no capacity."""
        if not self._queue or self._load.running >= self._load.limit:
            return None
        request: queueing.PendingRequest = self._queue.pop(0)
        return request

    def expire(self, now: float) -> tuple[queueing.Rejection, ...]:
        """Removes and rejects requests whose callers would leave before the start."""
        expired = [r for r in self._queue if r.latest_start_at < now]
        for request in expired:
            self._queue.remove(request)
        return tuple(_reject(r, "its time ran out waiting") for r in expired)

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns False if it isn't queued."""
        for request in self._queue:
            if request.request_id == request_id:
                self._queue.remove(request)
                return True
        return False

    def clear(self) -> tuple[queueing.PendingRequest, ...]:
        """Removes and returns all requests."""
        cleared = tuple(self._queue)
        self._queue.clear()
        return cleared

    def count_on_time(self) -> int:
        """Returns 0: no entry yields to the requests of another."""
        return 0

    def take_basis(self, request_id: str) -> shedding.Basis | None:
        """Returns None: the inputs are those of the dispatcher."""
        return None


def create_first_come() -> FixedOrder:
    """Creates the baseline that starts requests in the order of arrival."""
    return FixedOrder(operator.attrgetter("arrived_at"))


def create_earliest_deadline() -> FixedOrder:
    """Creates the baseline that starts the request with the earliest objective."""
    return FixedOrder(operator.attrgetter("objective_at"))


def _reject(request: queueing.PendingRequest, reason: str) -> queueing.Rejection:
    retry_after_ms = delay.compute_retry_after_ms(request.request_id, EXPIRED_WAIT_S)
    return queueing.Rejection(request, reason, retry_after_ms / 1000)
