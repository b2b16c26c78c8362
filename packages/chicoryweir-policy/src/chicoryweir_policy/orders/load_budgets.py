"""Token bucket that limits loads of weights to the bandwidth of the weight store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBudget:
    """A token bucket of bytes.

    Attributes:
        bytes_per_s: Refill rate.
        burst_bytes: Capacity of the bucket.
        left_bytes: Bytes available at `updated_at`; negative after an overdraft.
        updated_at: Time of the latest refill, in seconds.
    """

    bytes_per_s: float
    burst_bytes: float
    left_bytes: float
    updated_at: float


def create_budget(bytes_per_s: float, burst_bytes: float, now: float) -> LoadBudget:
    """Returns a full bucket."""
    return LoadBudget(bytes_per_s, burst_bytes, burst_bytes, now)


def refill(budget: LoadBudget, now: float) -> LoadBudget:
    """Adds the bytes that became available since the latest refill."""
    added_bytes = (now - budget.updated_at) * budget.bytes_per_s
    left_bytes = min(budget.burst_bytes, budget.left_bytes + added_bytes)
    return dataclasses.replace(budget, left_bytes=left_bytes, updated_at=now)


def count_loads(budget: LoadBudget, load_bytes: float) -> int:
    """Returns how many loads may start; a single one may overdraw the bucket."""
    if budget.left_bytes <= 0:
        return 0
    return max(1, int(budget.left_bytes // load_bytes))


def spend(budget: LoadBudget, load_bytes: float, loads: int) -> LoadBudget:
    """Deducts the bytes of a number of loads."""
    left_bytes = budget.left_bytes - loads * load_bytes
    return dataclasses.replace(budget, left_bytes=left_bytes)
