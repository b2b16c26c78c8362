"""CPU time and memory of the operations of admission and quarantine."""

from __future__ import annotations

import collections.abc
import time
import tracemalloc

from chicoryweir_policy import requests
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.admission import limits
from chicoryweir_policy.admission import overload
from chicoryweir_policy.admission import queued
from chicoryweir_policy.quarantine import suspicion

WORKSPACE_COUNTS = (10, 600, 6200)
ROUNDS = 5
CALLS_PER_ROUND = 2000
_STANDARD = requests.PriorityClass.STANDARD


def measure_all() -> dict[str, list[float]]:
    """Returns the CPU time of each operation in µs, per WORKSPACE_COUNTS item."""
    costs: dict[str, list[float]] = {}
    for workspace_count in WORKSPACE_COUNTS:
        for title, operation in _make_operations(workspace_count).items():
            costs.setdefault(title, []).append(_measure_operation_us(operation))
    return costs


def measure_memory() -> dict[str, float]:
    """Returns the memory of each kind of record, in bytes."""
    count = 5000
    limit = limits.Limits(1e6, 1e6, 1_000_000)
    fair = fair_queue.create_fair_queue(4 * count, 1000.0)
    limiter = limits.create_limiter("entry-1", 7)
    throttle = overload.Throttle()

    def fill_limiter() -> None:
        for index in range(count):
            limiter.decide("r", f"workspace-{index}", limit, 10.0, 0.0)

    def fill_throttle() -> None:
        for index in range(count):
            throttle.decide("r", f"workspace-{index}", _STANDARD, 0.0)

    def push_round(round_index: int) -> None:
        for index in range(count):
            fair.push(_make_queued_request(f"{round_index}-{index}", index, count), 0.0)

    return {
        "queue: a workspace with one request": _measure_bytes(lambda: push_round(0))
        / count,
        "queue: each further request": _measure_bytes(lambda: push_round(1)) / count,
        "limits: a workspace": _measure_bytes(fill_limiter) / count,
        "overload: a workspace and class": _measure_bytes(fill_throttle) / count,
        "quarantine: a full book": _measure_bytes(_fill_tracker),
    }


def _measure_bytes(fill: collections.abc.Callable[[], object]) -> float:
    tracemalloc.start()
    filled = fill()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del filled
    return float(size_bytes)


def _fill_tracker() -> suspicion.SuspicionTracker:
    tracker = suspicion.SuspicionTracker()
    fingerprints_per_loss = suspicion.MAX_FINGERPRINTS_PER_LOSS
    for index in range(suspicion.MAX_LOSSES):
        first_fingerprint = 2**40 + index * fingerprints_per_loss
        fingerprints = frozenset(
            range(first_fingerprint, first_fingerprint + fingerprints_per_loss)
        )
        tracker.record_loss(f"i-{index}", "1", fingerprints, 0.0)
    return tracker


def _measure_operation_us(operation: collections.abc.Callable[[int], object]) -> float:
    best_s = float("inf")
    for round_index in range(ROUNDS):
        started_at = time.process_time()
        for index in range(CALLS_PER_ROUND):
            operation(round_index * CALLS_PER_ROUND + index)
        best_s = min(best_s, time.process_time() - started_at)
    return best_s / CALLS_PER_ROUND * 1e6


def _make_queued_request(
    attempt_id: str, index: int, workspace_count: int
) -> queued.QueuedRequest:
    workspace = f"workspace-{index * 7919 % workspace_count}"
    cost_tokens = 50.0 + index * 31 % 500
    return queued.QueuedRequest(
        attempt_id, workspace, _STANDARD, 1.0, 0.3, cost_tokens, 1e9, 0.0
    )


def _make_operations(
    workspace_count: int,
) -> dict[str, collections.abc.Callable[[int], object]]:
    fair = fair_queue.create_fair_queue(5 * workspace_count, 1000.0)
    full = fair_queue.create_fair_queue(4 * workspace_count, 1000.0)
    for index in range(4 * workspace_count):
        fair.push(_make_queued_request(f"a-{index}", index, workspace_count), 0.0)
        full.push(_make_queued_request(f"a-{index}", index, workspace_count), 0.0)
    limiter = limits.create_limiter("entry-1", 7)
    throttle = overload.Throttle()
    tracker = suspicion.SuspicionTracker()
    for index in range(suspicion.MAX_LOSSES):
        tracker.record_loss(
            f"i-{index}", "1", frozenset(range(index * 16, index * 16 + 16)), 0.0
        )
    limit = limits.Limits(1e6, 1e6, 1_000_000)

    def pop_and_push(index: int) -> None:
        popped = fair.pop(0.0)
        assert popped is not None
        fair.push(_make_queued_request(f"b-{index}", index, workspace_count), 0.0)

    def decide_limit(index: int) -> None:
        name = f"workspace-{index % workspace_count}"
        limiter.decide("r", name, limit, 10.0, index / 1000)
        limiter.record_ended(name, 0.0, index / 1000)

    return {
        "queue: pop and push": pop_and_push,
        "queue: push when full": lambda index: full.push(
            _make_queued_request(f"c-{index}", index, workspace_count), 0.0
        ),
        "queue: correct a cost": lambda index: fair.correct_cost(
            f"workspace-{index % workspace_count}", _STANDARD, 1.0, 0.0
        ),
        "queue: predict a wait": lambda index: fair.predict_wait(
            f"workspace-{index % workspace_count}", _STANDARD, 0.0
        ),
        "queue: measure": lambda index: fair.measure_backlog(0.0),
        "limits: decide and end": decide_limit,
        "overload: decide": lambda index: throttle.decide(
            "r", f"workspace-{index % workspace_count}", _STANDARD, 0.0
        ),
        "quarantine: judge a suspect": lambda index: tracker.get_verdict(
            index % 2048, 2000.0
        ),
        "quarantine: judge another": lambda index: tracker.get_verdict(
            10**9 + index, 2000.0
        ),
    }
