"""One agent's queue and the entries that send to it, in virtual time."""

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
LINK_S = 0.002
REPORT_PERIOD_S = 0.25
EXPIRY_PERIOD_S = 0.05
WARM_UP_S = 30.0
DURATION_S = 330.0
ESTIMATE_ERROR = 0.3

URGENT = requests.PriorityClass.URGENT
STANDARD = requests.PriorityClass.STANDARD
BULK = requests.PriorityClass.BULK
FLOORS = {URGENT: 0.5, STANDARD: 0.3, BULK: 0.1}
DEADLINES_S = {URGENT: 8.0, STANDARD: 30.0, BULK: 120.0}
SIZES_TOKENS = {URGENT: (20.0, 200.0), STANDARD: (50.0, 600.0), BULK: (100.0, 1500.0)}


@dataclasses.dataclass(frozen=True)
class Stream:
    """Requests of one workspace and class; `load` is a share of capacity."""

    workspace: str
    priority: requests.PriorityClass
    load: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request and the tokens that it really takes."""

    request_id: str
    stream: Stream
    at: float
    tokens: float
    estimate: float
    entry: int

    @property
    def deadline_at(self) -> float:
        """Time by which the answer is due."""
        return self.at + DEADLINES_S[self.stream.priority]


def draw_arrivals(streams: tuple[Stream, ...], seed: int) -> list[Arrival]:
    """Draws Poisson arrivals with log-uniform sizes."""
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    for stream in streams:
        low, high = SIZES_TOKENS[stream.priority]
        ratio = high / low
        mean = (high - low) / math.log(ratio)
        rate = stream.load * CAPACITY_TOKENS_PER_S / mean
        at = source.expovariate(rate)
        while at < DURATION_S:
            tokens = low * ratio ** source.random()
            error = source.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
            name = f"{seed}-{stream.workspace}-{len(arrivals)}"
            entry = source.randrange(ENTRIES)
            arrivals.append(Arrival(name, stream, at, tokens, tokens * error, entry))
            at += source.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at)


class Run:
    """One agent with its endpoint, and the entries that send to it."""

    def __init__(self, work: queued.Queue, shedding: bool, comes_back: bool) -> None:
        self._queue = work
        self._comes_back = comes_back
        self._throttles = [overload.Throttle() for _ in range(ENTRIES)]
        self._shedding = shedding
        self._waits = [0.0] * len(requests.PriorityClass)
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._sequence = 0
        self._now = 0.0
        self._free = SLOTS
        self._sent: dict[str, Arrival] = {}
        self.finished: dict[str, float] = {}
        self.pushes = 0

    def simulate(self, arrivals: list[Arrival]) -> None:
        """Runs until all arrivals are settled or their time is over."""
        for arrival in arrivals:
            self._plan(arrival.at, lambda a=arrival: self._arrive(a))  # type: ignore[misc]
        self._plan(0.0, self._report)
        self._plan(0.0, self._expire)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            if self._now > DURATION_S:
                return
            action()

    def _plan(self, at: float, action: collections.abc.Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, action))

    def _arrive(self, arrival: Arrival) -> None:
        stream = arrival.stream
        if self._shedding:
            throttle = self._throttles[arrival.entry]
            decision = throttle.decide(
                arrival.request_id, stream.workspace, stream.priority, self._now
            )
            if isinstance(decision, overload.Shed):
                self._return(arrival, decision.retry_after_ms)
                return
        if self._is_feasible(arrival, self._waits[stream.priority]):
            self._plan(self._now + LINK_S, lambda: self._push(arrival))

    def _return(self, arrival: Arrival, retry_after_ms: int | None) -> None:
        """Lets the caller come back through the next entry, while it has time."""
        if not self._comes_back or retry_after_ms is None:
            return
        at = self._now + retry_after_ms / 1000
        if at >= arrival.deadline_at:
            return
        back = dataclasses.replace(
            arrival,
            request_id=f"{arrival.request_id}+",
            entry=(arrival.entry + 1) % ENTRIES,
        )
        self._plan(at, lambda: self._arrive(back))

    def _is_feasible(self, arrival: Arrival, wait_s: float) -> bool:
        facts = feasibility.Facts(
            arrival.request_id, arrival.estimate, arrival.deadline_at
        )
        admission = feasibility.decide_admission(
            facts, wait_s, SLOT_TOKENS_PER_S, self._now
        )
        if isinstance(admission, feasibility.Admitted):
            return True
        self._return(arrival, admission.problem.retry_after_ms)
        return False

    def _push(self, arrival: Arrival) -> None:
        self.pushes += 1
        stream = arrival.stream
        wait_s = self._queue.predict_wait(stream.workspace, stream.priority, self._now)
        if not self._is_feasible(arrival, wait_s):
            self._settle(arrival, False)
            return
        entry = queued.Queued(
            arrival.request_id,
            stream.workspace,
            stream.priority,
            1.0,
            FLOORS[stream.priority],
            arrival.estimate,
            arrival.deadline_at,
            self._now,
            feasibility.estimate_run(arrival.estimate, SLOT_TOKENS_PER_S),
        )
        self._sent[arrival.request_id] = arrival
        outcome = self._queue.push(entry, self._now)
        if isinstance(outcome, queued.Rejected):
            self._settle(arrival, False)
            self._return(arrival, outcome.retry_after_ms)
            return
        for lost in outcome.evicted:
            self._settle(self._sent[lost.entry.attempt_id], False)
            self._return(self._sent[lost.entry.attempt_id], lost.retry_after_ms)
        self._start()

    def _start(self) -> None:
        while self._free:
            entry = self._queue.pop(self._now)
            if entry is None:
                return
            self._free -= 1
            arrival = self._sent[entry.attempt_id]
            self._settle(arrival, True)
            run_s = arrival.tokens / SLOT_TOKENS_PER_S
            self._plan(self._now + run_s, lambda a=arrival: self._finish(a))  # type: ignore[misc]

    def _finish(self, arrival: Arrival) -> None:
        self._free += 1
        self.finished[arrival.request_id.rstrip("+")] = self._now
        self._queue.note_served(
            arrival.stream.workspace,
            arrival.stream.priority,
            arrival.tokens - arrival.estimate,
            self._now,
        )
        self._start()

    def _settle(self, arrival: Arrival, accepted: bool) -> None:
        self._throttles[arrival.entry].note_settled(
            arrival.stream.workspace, arrival.stream.priority, accepted, self._now
        )

    def _report(self) -> None:
        waits = [item.newcomer_wait_s for item in self._queue.measure(self._now)]
        self._plan(self._now + LINK_S, lambda: setattr(self, "_waits", waits))
        self._plan(self._now + REPORT_PERIOD_S, self._report)

    def _expire(self) -> None:
        for entry in self._queue.expire(self._now):
            self._settle(self._sent[entry.attempt_id], False)
        self._plan(self._now + EXPIRY_PERIOD_S, self._expire)
        self._start()
