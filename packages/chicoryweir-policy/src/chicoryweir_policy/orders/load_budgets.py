"""Budget of loads under the rate of the weight store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBudget:
    """A token bucket of bytes.

    Attributes:
        bytes_per_s: Rate of the weight store.
        burst_bytes: Bytes that may be fetched at once.
        left_bytes: Bytes left at `updated_at`; below zero while a load is paid off.
        updated_at: Time of the last change, in seconds.
    """

    bytes_per_s: float
    burst_bytes: float
    left_bytes: float
    updated_at: float


def create_budget(bytes_per_s: float, burst_bytes: float, now: float) -> LoadBudget:
    """Returns a full bucket."""
    return LoadBudget(bytes_per_s, burst_bytes, burst_bytes, now)


def refill(budget: LoadBudget, now: float) -> LoadBudget:
    """Adds what has come in since the last change."""
    gained = (now - budget.updated_at) * budget.bytes_per_s
    left = min(budget.burst_bytes, budget.left_bytes + gained)
    return dataclasses.replace(budget, left_bytes=left, updated_at=now)


def count_loads(budget: LoadBudget, load_bytes: float) -> int:
    """Returns how many loads of a size may start; one more than fits goes in debt."""
    if budget.left_bytes <= 0:
        return 0
    return max(1, int(budget.left_bytes // load_bytes))


def spend(budget: LoadBudget, load_bytes: float, loads: int) -> LoadBudget:
    """Pays for loads."""
    left = budget.left_bytes - loads * load_bytes
    return dataclasses.replace(budget, left_bytes=left)
