"""Simulation of one agent's queue and the entries that send to it."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import math
import random

from chicoryweir_policy import requests
from chicoryweir_policy.admission import feasibility
from chicoryweir_policy.admission import overload
from chicoryweir_policy.admission import queued

ENTRIES = 7
SLOTS = 16
SLOT_TOKENS_PER_S = 50.0
CAPACITY_TOKENS_PER_S = SLOTS * SLOT_TOKENS_PER_S
QUEUE_LIMIT = 256
LINK_LATENCY_S = 0.002
REPORT_PERIOD_S = 0.25
EXPIRY_PERIOD_S = 0.05
WARM_UP_S = 30.0
DURATION_S = 330.0
MAX_ESTIMATE_ERROR = 0.3

URGENT = requests.PriorityClass.URGENT
STANDARD = requests.PriorityClass.STANDARD
BULK = requests.PriorityClass.BULK
FLOORS = {URGENT: 0.5, STANDARD: 0.3, BULK: 0.1}
DEADLINES_S = {URGENT: 8.0, STANDARD: 30.0, BULK: 120.0}
SIZES_TOKENS = {URGENT: (20.0, 200.0), STANDARD: (50.0, 600.0), BULK: (100.0, 1500.0)}


@dataclasses.dataclass(frozen=True)
class Stream:
    """Requests of one workspace and class; `load` is a fraction of the capacity."""

    workspace: str
    priority: requests.PriorityClass
    load: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request with its actual and estimated cost in tokens."""

    request_id: str
    stream: Stream
    at: float
    tokens: float
    estimate: float
    entry_index: int

    @property
    def deadline_at(self) -> float:
        """Virtual time by which the answer must be complete, in seconds."""
        return self.at + DEADLINES_S[self.stream.priority]


def draw_arrivals(streams: tuple[Stream, ...], seed: int) -> list[Arrival]:
    """Draws Poisson arrivals with log-uniform costs, ordered by time."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for stream in streams:
        low, high = SIZES_TOKENS[stream.priority]
        ratio = high / low
        mean = (high - low) / math.log(ratio)
        rate = stream.load * CAPACITY_TOKENS_PER_S / mean
        at = rng.expovariate(rate)
        while at < DURATION_S:
            tokens = low * ratio ** rng.random()
            error = rng.uniform(1 - MAX_ESTIMATE_ERROR, 1 + MAX_ESTIMATE_ERROR)
            name = f"{seed}-{stream.workspace}-{len(arrivals)}"
            entry_index = rng.randrange(ENTRIES)
            arrivals.append(
                Arrival(name, stream, at, tokens, tokens * error, entry_index)
            )
            at += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at)


class Simulation:
    """Runs one agent with its endpoint, and the entries, in virtual time."""

    def __init__(
        self, queue: queued.Queue, throttles_enabled: bool, callers_retry: bool
    ) -> None:
        self._queue = queue
        self._callers_retry = callers_retry
        self._throttles = [overload.Throttle() for _ in range(ENTRIES)]
        self._throttles_enabled = throttles_enabled
        self._reported_waits_s = [0.0] * len(requests.PriorityClass)
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._sequence = 0
        self._now = 0.0
        self._free_slots = SLOTS
        self._arrivals: dict[str, Arrival] = {}
        self.finished: dict[str, float] = {}
        self.received_count = 0

    def simulate(self, arrivals: list[Arrival]) -> None:
        """Runs until no event is left or the virtual time reaches DURATION_S."""
        for arrival in arrivals:
            self._schedule(arrival.at, lambda a=arrival: self._arrive(a))  # type: ignore[misc]
        self._schedule(0.0, self._report)
        self._schedule(0.0, self._expire)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            if self._now > DURATION_S:
                return
            action()

    def _schedule(self, at: float, action: collections.abc.Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, action))

    def _arrive(self, arrival: Arrival) -> None:
        stream = arrival.stream
        if self._throttles_enabled:
            throttle = self._throttles[arrival.entry_index]
            decision = throttle.decide(
                arrival.request_id, stream.workspace, stream.priority, self._now
            )
            if isinstance(decision, overload.Shed):
                self._schedule_retry(arrival, decision.retry_after_ms)
                return
        if self._admit_or_retry(arrival, self._reported_waits_s[stream.priority]):
            self._schedule(self._now + LINK_LATENCY_S, lambda: self._receive(arrival))

    def _schedule_retry(self, arrival: Arrival, retry_after_ms: int | None) -> None:
        """Schedules a retry through the next entry if it starts before the deadline."""
        if not self._callers_retry or retry_after_ms is None:
            return
        at = self._now + retry_after_ms / 1000
        if at >= arrival.deadline_at:
            return
        retry = dataclasses.replace(
            arrival,
            request_id=f"{arrival.request_id}+",
            entry_index=(arrival.entry_index + 1) % ENTRIES,
        )
        self._schedule(at, lambda: self._arrive(retry))

    def _admit_or_retry(self, arrival: Arrival, wait_s: float) -> bool:
        """Returns whether the request is feasible; schedules a retry if it isn't."""
        estimate = feasibility.RequestEstimate(
            arrival.request_id, arrival.estimate, arrival.deadline_at
        )
        admission = feasibility.decide_admission(
            estimate, wait_s, SLOT_TOKENS_PER_S, self._now
        )
        if isinstance(admission, feasibility.Admitted):
            return True
        self._schedule_retry(arrival, admission.problem.retry_after_ms)
        return False

    def _receive(self, arrival: Arrival) -> None:
        self.received_count += 1
        stream = arrival.stream
        wait_s = self._queue.predict_wait(stream.workspace, stream.priority, self._now)
        if not self._admit_or_retry(arrival, wait_s):
            self._record_outcome(arrival, False)
            return
        queued_request = queued.QueuedRequest(
            arrival.request_id,
            stream.workspace,
            stream.priority,
            1.0,
            FLOORS[stream.priority],
            arrival.estimate,
            arrival.deadline_at,
            self._now,
            feasibility.estimate_run_time(arrival.estimate, SLOT_TOKENS_PER_S),
        )
        self._arrivals[arrival.request_id] = arrival
        outcome = self._queue.push(queued_request, self._now)
        if isinstance(outcome, queued.Rejected):
            self._record_outcome(arrival, False)
            self._schedule_retry(arrival, outcome.retry_after_ms)
            return
        for evicted in outcome.evicted:
            self._record_outcome(self._arrivals[evicted.request.attempt_id], False)
            self._schedule_retry(
                self._arrivals[evicted.request.attempt_id], evicted.retry_after_ms
            )
        self._start()

    def _start(self) -> None:
        while self._free_slots:
            queued_request = self._queue.pop(self._now)
            if queued_request is None:
                return
            self._free_slots -= 1
            arrival = self._arrivals[queued_request.attempt_id]
            self._record_outcome(arrival, True)
            run_s = arrival.tokens / SLOT_TOKENS_PER_S
            self._schedule(self._now + run_s, lambda a=arrival: self._finish(a))  # type: ignore[misc]

    def _finish(self, arrival: Arrival) -> None:
        self._free_slots += 1
        self.finished[arrival.request_id.rstrip("+")] = self._now
        self._queue.correct_cost(
            arrival.stream.workspace,
            arrival.stream.priority,
            arrival.tokens - arrival.estimate,
            self._now,
        )
        self._start()

    def _record_outcome(self, arrival: Arrival, accepted: bool) -> None:
        self._throttles[arrival.entry_index].record_outcome(
            arrival.stream.workspace, arrival.stream.priority, accepted, self._now
        )

    def _report(self) -> None:
        waits_s = [
            item.new_workspace_wait_s for item in self._queue.measure_backlog(self._now)
        ]
        self._schedule(
            self._now + LINK_LATENCY_S,
            lambda: setattr(self, "_reported_waits_s", waits_s),
        )
        self._schedule(self._now + REPORT_PERIOD_S, self._report)

    def _expire(self) -> None:
        for queued_request in self._queue.expire(self._now):
            self._record_outcome(self._arrivals[queued_request.attempt_id], False)
        self._schedule(self._now + EXPIRY_PERIOD_S, self._expire)
        self._start()
