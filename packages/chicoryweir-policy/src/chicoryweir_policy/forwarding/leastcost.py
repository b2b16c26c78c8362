"""Delays and rejects the requests whose delay or rejection costs callers least.

Entries have a few requests each and learn of one another's load some tenths of a second
late, so that the order of one queue says little. All entries therefore compare the same
figure, the believed load of the service relative to its limit, with a threshold of each
request (`thresholds`). The request with the highest threshold starts first, wherever it
waits, without a message about single requests.
"""

from __future__ import annotations

import collections
import math

from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import returns
from chicoryweir_policy.forwarding import shedding
from chicoryweir_policy.forwarding import thresholds

# Time constant of the moving average of the load that shows how long a shortage lasts.
LOAD_AVERAGING_S = 0.7
# Age of the latest announcement above which an entry goes by its own load.
MAX_SILENCE_S = 2.0
# Maximum number of requests that wait at an entry. Each decision compares all of them.
MAX_WAITING = 100
# Maximum number of decisions whose basis is kept until it is taken for the log.
MAX_BASES = 1000
# Least share of the capacity that predictions take to be left by more urgent classes.
MIN_LEFT_SHARE = 0.1


class LeastCost:
    """Compares the load of a service with the thresholds of its requests."""

    def __init__(self) -> None:
        self._thresholds = thresholds.Thresholds()
        self._load = shedding.ServiceLoad()
        self._average_share = 0.0
        self._averaged_at = -math.inf
        self._waiting: dict[str, queueing.PendingRequest] = {}
        self._bases: collections.OrderedDict[str, shedding.Basis]
        self._bases = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._waiting)

    def observe(self, load: shedding.ServiceLoad, now: float) -> None:
        """Sets the load that the next decisions are based on."""
        self._load = load
        weight = 1.0 - math.exp(-max(0.0, now - self._averaged_at) / LOAD_AVERAGING_S)
        self._average_share += weight * (self._load_share - self._average_share)
        self._averaged_at = now

    def record_request(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request arrived."""
        self._thresholds.record_request(request, now)

    def record_start(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request was sent to an endpoint."""
        self._thresholds.record_start(request, now)
        self._keep_basis(request, 0.0, now)

    def admits(self, request: queueing.PendingRequest, now: float) -> bool:
        """Returns whether a request that arrives while none waits may start at once."""
        return not self._is_early(request) and self._may_start(request, now)

    def push(
        self, request: queueing.PendingRequest, now: float
    ) -> tuple[queueing.Rejection, ...]:
        """Enqueues a request; returns all requests rejected as a result."""
        if self._is_early(request):
            return (self._reject(request, "it returned before its time", now),)
        if not self._may_start(request, now):
            rejection = self._check_wait(request, now)
            if rejection is not None:
                return (rejection,)
        self._waiting[request.request_id] = request
        if len(self._waiting) <= MAX_WAITING:
            return ()
        last = min(self._waiting.values(), key=lambda r: self._compute(r, now))
        del self._waiting[last.request_id]
        return (self._reject(last, "too many requests wait", now),)

    def pop(self, now: float) -> queueing.PendingRequest | None:
        """Dequeues the request with the highest threshold, if it may start."""
        if not self._waiting:
            return None
        first = max(self._waiting.values(), key=lambda r: self._compute(r, now))
        if not self._may_start(first, now):
            return None
        return self._waiting.pop(first.request_id)

    def expire(self, now: float) -> tuple[queueing.Rejection, ...]:
        """Removes and rejects the requests that have waited in vain."""
        rejections = []
        for request in list(self._waiting.values()):
            if request.latest_start_at < now:
                rejection = self._reject(request, "its time ran out waiting", now)
            elif thresholds.is_late(request, now) and not self._may_start(request, now):
                checked = self._check_wait(request, now)
                if checked is None:
                    continue
                rejection = checked
            else:
                continue
            del self._waiting[request.request_id]
            rejections.append(rejection)
        return tuple(rejections)

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns False if it isn't queued."""
        return self._waiting.pop(request_id, None) is not None

    def clear(self) -> tuple[queueing.PendingRequest, ...]:
        """Removes and returns all requests."""
        cleared = tuple(self._waiting.values())
        self._waiting.clear()
        return cleared

    def count_on_time(self) -> int:
        """Returns the number of queued requests that can still be on time."""
        return sum(
            not thresholds.is_late(request, self._averaged_at)
            for request in self._waiting.values()
        )

    def take_basis(self, request_id: str) -> shedding.Basis | None:
        """Returns and forgets what the latest decision on a request was based on."""
        return self._bases.pop(request_id, None)

    @property
    def _hears_others(self) -> bool:
        return self._load.heard_s <= MAX_SILENCE_S

    @property
    def _load_share(self) -> float:
        """Believed running requests, as a share of the limit."""
        load = self._load
        running = load.running if self._hears_others else load.own_running
        return running / max(1, load.limit)

    @property
    def _is_short(self) -> bool:
        """Whether on-time requests use the capacity that late ones may use."""
        return max(self._average_share, self._load_share) >= thresholds.LATE_SHARES[0]

    def _is_early(self, request: queueing.PendingRequest) -> bool:
        """Returns whether a caller came back before its time, in a shortage."""
        origin = request.origin
        if origin is None or not self._is_short:
            return False
        return not origin.is_in_turn(request.arrived_at)

    def _compute(self, request: queueing.PendingRequest, now: float) -> float:
        return self._thresholds.compute(request, now)

    def _may_start(self, request: queueing.PendingRequest, now: float) -> bool:
        return self._load_share < self._compute(request, now)

    def _check_wait(
        self, request: queueing.PendingRequest, now: float
    ) -> queueing.Rejection | None:
        """Rejects a request that would wait in vain; returns None if it may wait."""
        wait_s = self._predict_wait_s(request, now)
        if now + wait_s > self._compute_latest_start_at(request):
            reason = "the wait would pass its deadline"
            return self._reject(request, reason, now, wait_s)
        if not self._is_short:
            return None
        if not thresholds.is_late(request, now):
            if now + wait_s <= thresholds.get_latest_on_time_start_at(request):
                return None
            return self._reject(request, "it would start too late", now, wait_s)
        if request.arrived_at - thresholds.get_first_sent_at(request) > 0.0:
            # It was rejected before, and callers come back a few times only.
            return None
        return self._reject(request, "on-time requests use all capacity", now, wait_s)

    def _compute_latest_start_at(self, request: queueing.PendingRequest) -> float:
        """Returns the latest start at which a usual answer ends by the deadline."""
        latest_at = request.latest_start_at
        if request.origin is None:
            return latest_at
        return min(latest_at, request.origin.deadline_at - self._load.run_s)

    def _predict_wait_s(self, request: queueing.PendingRequest, now: float) -> float:
        """Predicts the time until the load is below a request's highest threshold.

        Requests of more urgent classes that arrive meanwhile start first, so that only
        the rest of the capacity reduces the load and the requests ahead.
        """
        load = self._load
        if load.run_s <= 0.0:
            return 0.0
        highest = self._thresholds.compute_highest(request, now)
        waiting = len(self._waiting) + (load.peer_on_time if self._hears_others else 0)
        priority = queueing.convert_priority(request.priority)
        ahead = waiting * self._thresholds.measure_urgent_share(priority + 1)
        excess = ahead + (self._load_share - highest) * load.limit
        left_share = 1.0 - self._thresholds.measure_urgent_share(priority)
        per_s = load.limit / load.run_s * max(MIN_LEFT_SHARE, left_share)
        return max(0.0, excess) / max(1e-3, per_s)

    def _reject(
        self,
        request: queueing.PendingRequest,
        reason: str,
        now: float,
        predicted_wait_s: float = 0.0,
    ) -> queueing.Rejection:
        self._keep_basis(request, predicted_wait_s, now)
        origin = request.origin or returns.Origin(
            request.request_id, request.arrived_at, request.abandon_at
        )
        return queueing.Rejection(request, reason, origin.compute_wait_s(now))

    def _keep_basis(
        self, request: queueing.PendingRequest, predicted_wait_s: float, now: float
    ) -> None:
        self._bases[request.request_id] = shedding.Basis(
            self._load_share,
            self._compute(request, now),
            thresholds.is_late(request, now),
            now - thresholds.get_first_sent_at(request),
            predicted_wait_s,
            self._load.heard_s,
        )
        while len(self._bases) > MAX_BASES:
            self._bases.popitem(last=False)
