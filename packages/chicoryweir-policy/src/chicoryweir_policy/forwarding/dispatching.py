"""Dispatches the requests of one service to endpoints with free capacity."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_policy.admission import delay
from chicoryweir_policy.forwarding import coldstarts
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import congestion
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import latency
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import objectivefirst
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.forwarding import rests
from chicoryweir_policy.forwarding import selection
from chicoryweir_policy.forwarding import shedding

# Retry-after time of requests that expired in the queue.
EXPIRED_RETRY_S = 1.0
# Expected wait of a request whose endpoints only other entries send to; callers come
# back to any entry.
OTHER_ENTRY_WAIT_S = 0.2
# Expected wait of a request whose endpoints are all in evacuated data centres. Nobody
# knows when an evacuation ends; with the spread, the longest time is
# `queueing.MAX_RETRY_S`.
EVACUATED_WAIT_S = 1.8
# Mean time from the end of a rest to the return of requests that were rejected in it.
REST_SPREAD_S = 0.3
# Slow or failing endpoints are avoided only if at least this share of the endpoints
# remains. Fewer would be overloaded, and a problem of most endpoints usually has a
# common cause.
MIN_TRUSTED_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """A request that was assigned to an endpoint and counts towards its load."""

    request: queueing.PendingRequest
    endpoint: endpoints.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Enqueued:
    """A request that was queued until an endpoint has free capacity."""

    request: queueing.PendingRequest


Outcome = Dispatched | Enqueued | queueing.Rejection


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """Inputs of the latest decision to dispatch, queue or reject a request.

    Attributes:
        running: Believed number of running requests of all entries at the candidates.
        limit: Maximum number of running requests.
        loads_age_s: Age of the oldest announcement in `running`, in seconds.
        queued: Requests in this entry's queue.
        peer_on_time: On-time requests in other entries' queues.
    """

    running: int
    limit: int
    loads_age_s: float
    queued: int
    peer_on_time: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Capacity:
    """Free capacity of the endpoints of a service.

    Attributes:
        candidates: The endpoints, with their load and limits.
        running: Believed number of running requests at the candidates.
        limit: Maximum number of running requests.
        slots: Number of running requests that the candidates have slots for.
        free: Number of requests that could start now.
        rest_s: Time until an endpoint wants a request, in seconds; 0 if one does now.
        is_evacuated: Whether all endpoints are in evacuated data centres.
    """

    candidates: list[selection.Candidate]
    running: int
    limit: int
    slots: int
    free: int
    rest_s: float = 0.0
    is_evacuated: bool = False

    @property
    def is_held_back(self) -> bool:
        """Whether a cold endpoint with a free slot gets no request from this entry."""
        return any(
            candidate.is_cold
            and candidate.limit <= candidate.load.requests < candidate.endpoint.slots
            for candidate in self.candidates
        )


class Dispatcher:
    """Queues and dispatches the requests of one service."""

    def __init__(
        self,
        endpoint_table: endpoints.EndpointTable,
        load_table: loads.LoadTable,
        selector: selection.Selector,
        queue: queueing.RequestQueue,
        entry: str = "",
    ) -> None:
        """Initializes the dispatcher.

        Args:
            endpoint_table: Endpoints known to this entry.
            load_table: Load of the endpoints.
            selector: Selects the endpoint of a request.
            queue: Queue of the service, unless `set_shedding` is called.
            entry: Name of this entry.
        """
        self._endpoints = endpoint_table
        self._loads = load_table
        self._selector = selector
        self._shedding: shedding.Shedding = objectivefirst.ObjectiveFirst(queue, entry)
        self._head: queueing.PendingRequest | None = None
        self._is_avoided: collections.abc.Callable[[str, float], bool] = _avoid_none
        self._inflation = congestion.StepInflation()
        self._max_gap_s = 0.0
        self._first_part = latency.FirstPartLatency()
        self._peer_on_time = 0
        self._slowdowns: collections.abc.Mapping[str, float] = {}
        self._rate_limits = ratelimits.RateLimits(entry)
        self._rests = rests.Rests("")
        self._cold_endpoints = coldstarts.ColdEndpoints(entry)
        self._capacity = _Capacity([], 0, 0, 0, 0)

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._shedding) + (self._head is not None)

    def describe_admission(self, now: float) -> AdmissionInputs:
        """Returns the inputs of the latest decision."""
        return AdmissionInputs(
            self._capacity.running,
            self._capacity.limit,
            self._loads.measure_age_s(now),
            len(self),
            self._peer_on_time,
        )

    def take_basis(self, request_id: str) -> shedding.Basis | None:
        """Returns what the latest decision on a request was based on, if known."""
        return self._shedding.take_basis(request_id)

    def set_shedding(self, decision: shedding.Shedding) -> None:
        """Sets who decides in a shortage; called before the first request."""
        self._shedding = decision

    def set_avoidance(
        self, is_avoided: collections.abc.Callable[[str, float], bool]
    ) -> None:
        """Sets the function that returns whether to avoid an instance at a time."""
        self._is_avoided = is_avoided

    def set_rate_limits(self, rate_limits: ratelimits.RateLimits) -> None:
        """Sets the limits of what endpoints accept."""
        self._rate_limits = rate_limits

    def set_rests(self, known_rests: rests.Rests) -> None:
        """Sets the rests that endpoints asked for."""
        self._rests = known_rests

    def set_cold_endpoints(self, cold_endpoints: coldstarts.ColdEndpoints) -> None:
        """Sets the limits of what cold endpoints are sent."""
        self._cold_endpoints = cold_endpoints

    def set_slowdowns(self, slowdowns: collections.abc.Mapping[str, float]) -> None:
        """Sets the slowdowns of slow instances, which get no new requests."""
        self._slowdowns = slowdowns

    def record_first_part(self, delay_s: float) -> None:
        """Records the time from sending a request to the first part of its answer."""
        self._first_part = latency.record_sample(self._first_part, delay_s)

    def predict_first_part_s(self) -> float:
        """Returns a time to the first part that covers most requests, in seconds."""
        return self._first_part.predict_s()

    def record_gap(
        self,
        service: configuration.Service,
        gap_s: float,
        max_gap_s: float,
        now: float,
    ) -> None:
        """Records the gap between two events of a stream.

        Args:
            service: Service of the stream.
            gap_s: Measured gap, in seconds.
            max_gap_s: Longest gap that is on time on the route, in seconds.
            now: Present time, monotonic seconds.
        """
        if service.engine is None:
            return
        usable = self._endpoints.list_usable(service.name, now)
        running = sum(self._loads.get_load(e.instance, now).requests for e in usable)
        self._max_gap_s = max_gap_s
        self._inflation = congestion.record_gap(
            self._inflation,
            service.engine,
            gap_s,
            max_gap_s,
            running / max(1, len(usable)),
            self._find_max_slowdown(usable),
            now,
        )

    def submit(
        self,
        request: queueing.PendingRequest,
        service: configuration.Service,
        now: float,
    ) -> tuple[Outcome, ...]:
        """Dispatches or queues a request.

        Returns:
            The outcome of the request, and those of requests that were evicted for it
            or dispatched from the queue.
        """
        self._shedding.record_request(request, now)
        capacity = self._measure_capacity(service, now)
        if not len(self) and self._shedding.admits(request, now):
            dispatched = self._dispatch(request, capacity, now)
            if dispatched is not None:
                return (dispatched,)
        if capacity.is_held_back:
            self._cold_endpoints.record_held_back()
        rejection = self._check_acceptance(request, capacity, service, now)
        if rejection is not None:
            return (rejection,)
        rejections = self._shedding.push(request, now)
        if any(r.request.request_id == request.request_id for r in rejections):
            return rejections
        return (*rejections, Enqueued(request), *self.dispatch_queued(service, now))

    def dispatch_queued(
        self, service: configuration.Service, now: float
    ) -> tuple[Outcome, ...]:
        """Dispatches queued requests while capacity is free; rejects expired ones."""
        outcomes: list[Outcome] = list(self._shedding.expire(now))
        if self._head is not None and self._head.latest_start_at < now:
            outcomes.append(_reject_expired(self._head))
            self._head = None
        while len(self):
            capacity = self._measure_capacity(service, now)
            if capacity.is_evacuated:
                outcomes += self._reject_all_evacuated()
            if capacity.rest_s:
                outcomes += self._reject_in_rest(capacity.rest_s, now)
            if not capacity.free:
                break
            request = self._head or self._shedding.pop(now)
            self._head = None
            if request is None:
                break
            if request.latest_start_at < now:
                outcomes.append(_reject_expired(request))
                continue
            dispatched = self._dispatch(request, capacity, now)
            if dispatched is None:
                # Every free endpoint is excluded for it or lacks memory.
                self._head = request
                break
            outcomes.append(dispatched)
        return tuple(outcomes)

    def count_on_time(self) -> int:
        """Returns the number of queued requests that can still be on time."""
        return self._shedding.count_on_time()

    def set_peer_on_time(self, count: int) -> None:
        """Sets the number of on-time requests that are queued at other entries."""
        self._peer_on_time = count

    def remove(self, request_id: str) -> None:
        """Removes a request from the queue, if it is there."""
        if self._head is not None and self._head.request_id == request_id:
            self._head = None
            return
        self._shedding.remove(request_id)

    def finish(self, dispatched: Dispatched) -> None:
        """Subtracts a finished request from the load of its endpoint."""
        self._loads.record_finish(
            dispatched.endpoint.instance, dispatched.request.estimate.memory_tokens
        )

    def _dispatch(
        self, request: queueing.PendingRequest, capacity: _Capacity, now: float
    ) -> Dispatched | None:
        allowed = [
            candidate
            for candidate in capacity.candidates
            if candidate.endpoint.instance not in request.excluded
        ]
        candidates = allowed or capacity.candidates
        chosen = self._selector.select(candidates, request.estimate, request.request_id)
        if chosen is None:
            return None
        self._loads.record_start(
            chosen.endpoint.instance, request.estimate.memory_tokens
        )
        self._rate_limits.record_sent(chosen.endpoint)
        self._rests.record_sent(chosen.endpoint, now)
        self._cold_endpoints.record_sent(chosen.endpoint, now)
        self._shedding.record_start(request, now)
        return Dispatched(request, chosen.endpoint)

    def _find_max_slowdown(self, usable: list[endpoints.Endpoint]) -> float:
        """Returns the slowdown of the slowest endpoint, which determines the step."""
        if not self._slowdowns:
            return 1.0
        slowdowns = [self._slowdowns.get(endpoint.instance, 1.0) for endpoint in usable]
        return max(slowdowns, default=1.0)

    def _measure_capacity(
        self, service: configuration.Service, now: float
    ) -> _Capacity:
        """Computes load, limits and free capacity of the endpoints."""
        capacity = self._capacity = self._compute_capacity(service, now)
        load = shedding.ServiceLoad(
            capacity.running,
            capacity.limit,
            capacity.slots,
            capacity.free,
            self._peer_on_time,
            self._loads.count_own(c.endpoint.instance for c in capacity.candidates),
            self._loads.measure_silence_s(now),
            congestion.predict_run_s(
                self._inflation,
                service.engine,
                capacity.running / max(1, len(capacity.candidates)),
            ),
        )
        self._shedding.observe(load, now)
        return capacity

    def _compute_capacity(
        self, service: configuration.Service, now: float
    ) -> _Capacity:
        usable = self._endpoints.list_usable(service.name, now)
        if not usable and self._endpoints.is_evacuated(service.name):
            return _Capacity([], 0, 0, 0, 0, is_evacuated=True)
        accepting = [e for e in usable if not self._rests.is_resting(e, now)]
        trusted = [
            endpoint
            for endpoint in accepting
            if endpoint.instance not in self._slowdowns
            and not self._is_avoided(endpoint.instance, now)
            and not self._rests.is_avoided(endpoint, now)
        ]
        enough = len(trusted) >= MIN_TRUSTED_SHARE * len(accepting)
        candidates = [
            self._make_candidate(endpoint, service, now)
            for endpoint in (trusted if enough else accepting)
        ]
        if not accepting:
            rest_s = self._rests.predict_wait_s(usable, now) or 0.0
            return _Capacity([], 0, 0, 0, 0, rest_s)
        free = sum(max(0, c.limit - c.load.requests) for c in candidates)
        running = sum(candidate.load.requests for candidate in candidates)
        slots = sum(candidate.endpoint.slots for candidate in candidates)
        if service.engine is None or not candidates:
            return _Capacity(candidates, running, slots, slots, free)
        limit = congestion.compute_concurrency_limit(
            self._inflation,
            service.engine,
            self._max_gap_s,
            self._find_max_slowdown(usable),
            now,
        )
        if limit >= service.engine.slots:
            return _Capacity(candidates, running, slots, slots, free)
        # In a lock-step group each request slows down all endpoints, so the limit
        # applies to the sum of their requests.
        total_limit = math.floor(limit * len(candidates))
        max_per_endpoint = math.ceil(limit)
        limited = [
            selection.Candidate(
                c.endpoint, c.load, min(c.limit, max_per_endpoint), c.memory_tokens
            )
            for c in candidates
        ]
        return _Capacity(limited, running, total_limit, slots, free)

    def _check_acceptance(
        self,
        request: queueing.PendingRequest,
        capacity: _Capacity,
        service: configuration.Service,
        now: float,
    ) -> queueing.Rejection | None:
        """Rejects a request if no endpoint accepts one from this entry in its time."""
        if capacity.is_evacuated:
            return _reject_evacuated(request)
        if capacity.rest_s:
            if now + capacity.rest_s <= request.latest_start_at:
                return None
            return _reject_in_rest(request, capacity.rest_s)
        wait_s = self._predict_wait_s(capacity, service, now)
        if wait_s is None or now + wait_s <= request.latest_start_at:
            return None
        expected_s = OTHER_ENTRY_WAIT_S if math.isinf(wait_s) else wait_s
        retry_after_ms = delay.compute_retry_after_ms(request.request_id, expected_s)
        reason = "its endpoints accept no more requests"
        return queueing.Rejection(request, reason, retry_after_ms / 1000, wait_s)

    def _predict_wait_s(
        self, capacity: _Capacity, service: configuration.Service, now: float
    ) -> float | None:
        """Predicts how long limits keep this entry from sending a further request."""
        cold = [c.endpoint for c in capacity.candidates if c.is_cold]
        warm = [c.endpoint for c in capacity.candidates if not c.is_cold]
        wait_s = self._rate_limits.predict_wait_s(warm, len(self), now)
        if not cold or (warm and wait_s is None):
            return wait_s
        cold_wait_s = self._cold_endpoints.predict_wait_s(cold, service, len(self), now)
        if wait_s is None or cold_wait_s is None:
            return cold_wait_s
        return min(wait_s, cold_wait_s)

    def _reject_in_rest(self, rest_s: float, now: float) -> list[queueing.Rejection]:
        """Rejects the queued requests that can't wait until an endpoint's rest ends."""
        rejected = [r.request for r in self._shedding.expire(now + rest_s)]
        if self._head is not None and self._head.latest_start_at < now + rest_s:
            rejected.append(self._head)
            self._head = None
        return [_reject_in_rest(request, rest_s) for request in rejected]

    def _reject_all_evacuated(self) -> list[queueing.Rejection]:
        """Rejects all queued requests, whose endpoints' data centres are evacuated."""
        queued = [] if self._head is None else [self._head]
        self._head = None
        return [_reject_evacuated(r) for r in (*queued, *self._shedding.clear())]

    def _make_candidate(
        self, endpoint: endpoints.Endpoint, service: configuration.Service, now: float
    ) -> selection.Candidate:
        memory = 0 if service.engine is None else service.engine.memory_tokens
        cold_available = self._cold_endpoints.count_available(endpoint, service, now)
        load = self._loads.get_load(endpoint.instance, now)
        limit = endpoint.slots
        for available in (
            self._rate_limits.count_available(endpoint, now),
            self._rests.count_available(endpoint, now),
            cold_available,
        ):
            if available is not None:
                limit = min(limit, load.requests + max(0, available))
        is_cold = cold_available is not None
        return selection.Candidate(endpoint, load, limit, memory, is_cold)


def _reject_expired(request: queueing.PendingRequest) -> queueing.Rejection:
    return queueing.Rejection(request, "its time ran out waiting", EXPIRED_RETRY_S)


def _reject_evacuated(request: queueing.PendingRequest) -> queueing.Rejection:
    retry_after_ms = delay.compute_retry_after_ms(request.request_id, EVACUATED_WAIT_S)
    reason = "the data centres of its endpoints are evacuated"
    return queueing.Rejection(request, reason, retry_after_ms / 1000)


def _reject_in_rest(
    request: queueing.PendingRequest, rest_s: float
) -> queueing.Rejection:
    spread_ms = delay.compute_retry_after_ms(request.request_id, REST_SPREAD_S)
    reason = "its endpoints want no requests for now"
    return queueing.Rejection(request, reason, rest_s + spread_ms / 1000, rest_s)


def _avoid_none(instance: str, now: float) -> bool:
    return False
